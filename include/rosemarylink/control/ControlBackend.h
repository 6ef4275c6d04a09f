#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Api.h"

#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::control {

// A configuration that passed OperatorApi's checks and differs from the current one.
struct ConfigProposal {
    model::Declarations declarations; // accounts ordered by id, guarantees by account and name, worths by kind
    ConfigVersion expectedVersion; // the version that the operator saw
    OperatorId proposedBy;
    OperationId operation; // for the audit entry, and to detect after a lost reply whether the proposal was stored
    std::vector<std::string> changes; // for the audit entry
};

struct AuditQuery {
    std::optional<OperatorId> acceptedBy;
    std::optional<Timestamp> since; // inclusive
    std::optional<Timestamp> until; // exclusive
    std::optional<ConfigVersion> before; // only entries with a lower toVersion
    std::int64_t limit = 100;
};

struct JobSubmitRequest {
    model::JobSpec job; // without the id, which the backend derives from the account and the key
    IdempotencyKey key;
};

struct JobQuery {
    std::optional<AccountId> account;
    std::optional<api::JobState> state;
    std::optional<JobId> after; // only jobs with a greater id
    std::int64_t limit = 100;
};

struct WorkerQuery {
    std::optional<RegionId> region;
    std::optional<RackId> rack;
    std::optional<model::ResourceState> state;
};

// The operations behind the operators' interface. Thread-safe. Methods should return within 10 s, the default time-out
// of rosemarylinkctl. The verdict of an error tells whether the operation may have run. Unless stated otherwise,
// methods fail with Unavailable and a retry time while the store is down.
class ControlBackend {
public:
    virtual ~ControlBackend() = default;

    // Returns the configuration in force at this instance, with its author, time and rollout state. Served from memory,
    // because each request reads it to authenticate client accounts. Before the first apply it is version 0 without
    // accounts.
    virtual Result<api::ConfigView> currentConfig() = 0;

    // Returns the configuration in the store, for a comparison before a write. It may be newer than currentConfig().
    virtual Result<api::ConfigView> storedConfig() = 0;

    // Fails with InvalidArgument when the guarantees together cannot be placed on the fleet; the message names the
    // guarantee and the missing capacity. No other check compares declarations with the workers.
    virtual Status checkFeasibility(const model::Declarations&) = 0;

    // Stores a new version if the stored version is still the expected one, and returns it. Other instances may put it
    // in force later. Otherwise fails with Conflict; the message names the author and time of the stored version.
    virtual Result<api::ConfigView> proposeConfig(const ConfigProposal&) = 0;

    // Returns the rollout state of a version. Works without the store. Fails with NotFound for a version that this
    // instance does not know to be stored.
    virtual Result<api::InForceView> inForce(ConfigVersion) = 0;

    // Audit entries, newest first, at most limit.
    virtual Result<api::AuditList> audit(const AuditQuery&) = 0;

    // Stores a job durably. Repeating an account's key returns the job of the first submission. Fails with
    // InvalidArgument when the job can never run, and with Conflict when the key was used for a different job.
    virtual Result<api::JobView> submitJob(const JobSubmitRequest&) = 0;

    // Fails with NotFound for an unknown job.
    virtual Result<api::JobView> job(const JobId&) = 0;
    virtual Result<api::JobList> jobs(const JobQuery&) = 0;
    // The reason must not name other jobs, because client accounts read it too. Other jobs belong in waitsFor, from
    // which OperatorApi removes those of other accounts.
    virtual Result<api::JobExplanation> explainJob(const JobId&) = 0;

    // Requests cancellation and returns the resulting state. A job that has ended is not changed.
    virtual Result<api::JobView> cancelJob(const JobId&) = 0;

    virtual Result<api::AccountList> accounts() = 0;
    virtual Result<api::WorkerList> workers(const WorkerQuery&) = 0;

    // Works without the store, and reports whether the store is available.
    virtual Result<api::StatusView> status() = 0;

    // Succeeds while the instance accepts new requests. Otherwise the error names its state, such as starting or
    // leaving.
    virtual Status readiness() = 0;
};

} // namespace rosemarylink::control
