#include "rosemarylink/transport/PlatformClient.h"

#include "rosemarylink/base/JsonReader.h"

namespace rosemarylink::transport {

PlatformClient::PlatformClient(const std::string& address, Milliseconds timeout)
    : client_(address)
    , timeout_(timeout)
{
}

Result<nlohmann::json> PlatformClient::send(const std::string& method, const std::string& path, const std::string& body)
{
    BOOST_OUTCOME_TRY(reply, client_.send(method, path, {}, body, timeout_));
    if (reply.status != 200)
        return errorFromResponse(reply.status, reply.body);
    auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (json.is_discarded())
        return unavailable("the platform's answer to " + path + " is not JSON", Verdict::MayHaveRun);
    return json;
}

Result<std::vector<model::UpstreamSpec>> PlatformClient::listUpstreams()
{
    BOOST_OUTCOME_TRY(json, send("GET", "/upstreams", ""));
    return readArray<model::UpstreamSpec>(json, "upstreams", {},
        [](const nlohmann::json& element, const std::string& path) { return model::parseUpstreamSpec(element, path); });
}

Result<std::vector<model::WorkerSpec>> PlatformClient::listWorkers()
{
    BOOST_OUTCOME_TRY(json, send("GET", "/workers", ""));
    return readArray<model::WorkerSpec>(json, "workers", {},
        [](const nlohmann::json& element, const std::string& path) { return model::parseWorkerSpec(element, path); });
}

Result<std::vector<platform::InstanceEntry>> PlatformClient::listInstances()
{
    BOOST_OUTCOME_TRY(json, send("GET", "/instances", ""));
    return readArray<platform::InstanceEntry>(
        json, "instances", {}, [](const nlohmann::json& element, const std::string& path) {
            return platform::parseInstanceEntry(element, path);
        });
}

Status PlatformClient::announceInstance(const platform::InstanceEntry& entry)
{
    BOOST_OUTCOME_TRYV(send("PUT", "/instances/" + entry.id.value(), toJson(entry).dump()));
    return okStatus();
}

Status PlatformClient::announceLeaving(const InstanceId& id)
{
    BOOST_OUTCOME_TRYV(send("DELETE", "/instances/" + id.value(), ""));
    return okStatus();
}

} // namespace rosemarylink::transport
