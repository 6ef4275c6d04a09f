#pragma once

#include "rosemarylink/state/WorkerAgent.h"
#include "rosemarylink/transport/HttpClient.h"

#include <string>

namespace rosemarylink::scheduler {

// Orders to workers through the platform's HTTP interface.
class HttpWorkerAgent final : public state::WorkerAgent {
public:
    // The platform's address is IP:port; the time-out holds for each order.
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

    // Bytes of orders and answers since the start.
    std::int64_t bytesTransferred() const { return client_.bytesTransferred(); }

private:
    Result<nlohmann::json> send(const std::string& method, const std::string& path, const nlohmann::json& body);
    Result<nlohmann::json> order(const WorkerId&, const std::string& name, const nlohmann::json& body);

    transport::HttpClient client_;
    Milliseconds timeout_;
};

} // namespace rosemarylink::scheduler
