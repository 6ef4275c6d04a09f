#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Platform.h"
#include "rosemarylink/transport/HttpServer.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace rosemarylink::standin {

// Simulates the platform's workers over HTTP. Tasks run under leases that expire by the given clock. The command of a
// task determines its end: "run 5000" completes after 5,000 ms, "fail 100" fails after 100 ms, and any other command
// completes after 1,000 ms. Thread-safe.
class StandInWorkers {
public:
    StandInWorkers(const Clock&, std::vector<model::WorkerSpec>, Milliseconds reportLag);

    // Adds the routes under /workers.
    void registerRoutes(transport::HttpRouter&);

    void setFaults(const platform::Faults&);

private:
    struct Gang {
        std::int64_t attempt = 0;
        std::int64_t tasks = 0;
        model::Resources perTask;
        std::string command;
        platform::TaskState state = platform::TaskState::Reserved;
        Milliseconds leaseExpiresAt { 0 };
        Milliseconds completesAt { 0 };
    };
    struct Worker {
        model::WorkerSpec spec;
        FencingToken highestToken;
        std::map<JobId, Gang> gangs;
        platform::WorkerReport lastReport;
        Milliseconds lastReportTime { -1 };
    };
    using Order = Result<nlohmann::json> (StandInWorkers::*)(Worker&, const nlohmann::json&);

    void addOrder(transport::HttpRouter&, const std::string& name, Order);
    transport::HttpResponse handleOrder(const transport::HttpRequest&, Order);
    transport::HttpResponse listWorkers();
    transport::HttpResponse listGangs();

    // These require mutex_ to be locked.
    Result<nlohmann::json> reserve(Worker&, const nlohmann::json&);
    Result<nlohmann::json> start(Worker&, const nlohmann::json&);
    Result<nlohmann::json> renew(Worker&, const nlohmann::json&);
    Result<nlohmann::json> release(Worker&, const nlohmann::json&);
    Result<nlohmann::json> checkpoint(Worker&, const nlohmann::json&);
    Result<nlohmann::json> throttle(Worker&, const nlohmann::json&);
    Result<nlohmann::json> report(Worker&, const nlohmann::json&);
    Status checkToken(Worker&, FencingToken);
    Result<Gang*> findGang(Worker&, const platform::GangOrder&);
    model::Resources freeCapacity(const Worker&) const;
    void advance(Worker&);
    void finish(Worker&, const JobId&, Gang&, platform::TaskState);
    const platform::WorkerReport& laggingReport(Worker&);
    bool isLost(const WorkerId&) const;
    platform::GangRecord& record(const JobId&, std::int64_t attempt);

    const Clock& clock_;
    Milliseconds reportLag_;
    std::mutex mutex_;
    std::map<WorkerId, Worker> workers_;
    std::map<std::pair<JobId, std::int64_t>, platform::GangRecord> records_;
    platform::Faults faults_;
};

} // namespace rosemarylink::standin
