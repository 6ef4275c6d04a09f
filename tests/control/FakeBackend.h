#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/control/ControlBackend.h"

#include <map>
#include <mutex>
#include <optional>

namespace rosemarylink::control {

// Keeps a configuration and jobs in memory, and injects failures.
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

    // Resets the configuration to version 0.
    void resetConfig();

    // Stores declarations in the name of the operator.
    void storeAs(const std::string& operatorName, const model::Declarations&);

    ManualClock clock;
    std::optional<Error> configFailure; // returned by currentConfig
    std::optional<Error> storeFailure; // returned by operations that need the store
    std::optional<Error> feasibilityFailure;
    std::optional<Error> notReady;
    int concurrentChangesBeforePropose = 0; // number of proposals that conflict with another operator's change
    std::vector<api::InstanceVersion> behind; // instances that have not reported the version
    int pollsUntilInForce = 0; // number of inForce queries that report instances behind
    int proposals = 0;
    int submissions = 0; // not counting repeated keys
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
