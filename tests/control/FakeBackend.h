#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/control/ControlBackend.h"

#include <map>
#include <mutex>
#include <optional>

namespace rosemarylink::control {

// A configuration record and a job list in memory, with failures that tests switch on.
class FakeBackend final : public ControlBackend {
public:
    Result<api::ConfigView> currentConfig() override;
    Result<api::ConfigView> storedConfig() override;
    Status checkFeasibility(const model::Declarations&) override;
    Result<api::ConfigView> proposeConfig(const ConfigProposal&) override;
    Result<api::InForceView> inForce(ConfigVersion) override;
    Result<api::AuditList> audit(const AuditQuery&) override;
    Result<api::JobView> submitJob(const JobSubmitRequest&) override;
    Result<api::JobView> job(const JobId&) override;
    Result<api::JobList> jobs(const JobQuery&) override;
    Result<api::JobExplanation> explainJob(const JobId&) override;
    Result<api::JobView> cancelJob(const JobId&) override;
    Result<api::AccountList> accounts() override;
    Result<api::WorkerList> workers(const WorkerQuery&) override;
    Result<api::StatusView> status() override;
    Status readiness() override;

    // Goes back to version 0.
    void forgetConfig();

    // Stores declarations as another operator would.
    void storeFrom(const std::string& operatorName, const model::Declarations&);

    ManualClock clock;
    std::optional<Error> configFailure; // of the configuration in memory, as before the first one is known
    std::optional<Error> storeFailure; // of reads and writes of the store
    std::optional<Error> feasibilityFailure;
    std::optional<Error> notReady;
    int racesBeforePropose = 0; // so many proposals meet another operator's change
    std::vector<api::InstanceVersion> behind; // instances that have not reported the version
    int pollsUntilInForce = 0; // these many queries find the instances behind
    int proposals = 0;
    int submissions = 0; // with a key that was new
    WorkerQuery lastWorkerQuery;
    AuditQuery lastAuditQuery;

private:
    Result<api::JobView*> find(const JobId&);

    std::recursive_mutex mutex_;
    api::ConfigView config_;
    std::vector<api::AuditEntry> audit_;
    std::map<JobId, api::JobView> jobs_;
};

} // namespace rosemarylink::control
