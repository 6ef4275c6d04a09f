#pragma once

#include "rosemarylink/state/WorkerAgent.h"
#include "rosemarylink/transport/HttpClient.h"
#include "rosemarylink/transport/PlatformClient.h"

#include <string>

namespace rosemarylink::scheduler {

// Sends orders to workers through the platform's HTTP interface.
class HttpWorkerAgent final : public state::WorkerAgent {
public:
    // The platform's address is IP:port; the time-out applies to each call.
    HttpWorkerAgent(const std::string& platformAddress, Milliseconds timeout);

    Status reserve(const WorkerId&, FencingToken, const state::WorkerTasks&, Milliseconds leaseTtl) override;
    Status start(const WorkerId&, FencingToken, const JobId&, std::int64_t attempt) override;
    Result<state::WorkerReport> renew(
        const WorkerId&, FencingToken, const std::vector<JobId>&, Milliseconds leaseTtl) override;
    Status release(const WorkerId&, FencingToken, const JobId&, std::int64_t attempt) override;
    Status checkpoint(const WorkerId&, FencingToken, const JobId&, std::int64_t attempt) override;
    Status throttle(const WorkerId&, FencingToken, const JobId&, double share) override;
    Result<state::WorkerReport> report(const WorkerId&) override;
    Result<std::vector<model::WorkerSpec>> listWorkers() override;

    // Bytes of requests and responses since construction.
    std::int64_t bytesTransferred() const { return client_.bytesTransferred() + platform_.bytesTransferred(); }

private:
    Result<nlohmann::json> send(const std::string& method, const std::string& path, const nlohmann::json& body);
    Result<nlohmann::json> order(const WorkerId&, const std::string& name, const nlohmann::json& body);

    transport::HttpClient client_;
    transport::PlatformClient platform_;
    Milliseconds timeout_;
};

} // namespace rosemarylink::scheduler
