#pragma once

#include "rosemarylink/generated/Model.h"
#include "rosemarylink/generated/Platform.h"
#include "rosemarylink/transport/HttpClient.h"

#include <string>
#include <vector>

namespace rosemarylink::transport {

// The platform's lists of upstreams and instances; both lag. Safe to use from several threads.
class PlatformClient {
public:
    // The address is IP:port; the time-out holds for each call.
    PlatformClient(const std::string& address, Milliseconds timeout);

    Result<std::vector<model::UpstreamSpec>> listUpstreams();
    Result<std::vector<model::WorkerSpec>> listWorkers();
    Result<std::vector<platform::InstanceEntry>> listInstances();
    Status announceInstance(const platform::InstanceEntry&);
    Status announceLeaving(const InstanceId&);

private:
    Result<nlohmann::json> send(const std::string& method, const std::string& path, const std::string& body);

    HttpClient client_;
    Milliseconds timeout_;
};

} // namespace rosemarylink::transport
