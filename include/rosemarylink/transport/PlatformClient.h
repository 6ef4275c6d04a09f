#pragma once

#include "rosemarylink/generated/Model.h"
#include "rosemarylink/generated/Platform.h"
#include "rosemarylink/transport/HttpClient.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace rosemarylink::transport {

// A client of the platform's lists of workers, upstreams and instances, all of which lag. Lists are cached by ETag, so
// that the body of an unchanged list is not transferred again. Calls block. Thread-safe.
class PlatformClient {
public:
    // The address is "IP:port". The time-out applies to connecting and to each wait for data of a call.
    PlatformClient(const std::string& address, Milliseconds timeout);

    Result<std::vector<model::UpstreamSpec>> listUpstreams();
    Result<std::vector<model::WorkerSpec>> listWorkers();
    Result<std::vector<platform::InstanceEntry>> listInstances();
    Status announceInstance(const platform::InstanceEntry&);
    Status announceLeaving(const InstanceId&);

    // Bytes of requests and replies since construction.
    std::int64_t bytesTransferred() const { return client_.bytesTransferred(); }

private:
    struct CachedList {
        std::string entityTag;
        nlohmann::json list;
    };

    Result<nlohmann::json> list(const std::string& path);
    Result<nlohmann::json> send(const std::string& method, const std::string& path, const std::string& body);

    HttpClient client_;
    Milliseconds timeout_;
    std::mutex mutex_;
    std::map<std::string, CachedList> lists_; // by path
};

} // namespace rosemarylink::transport
