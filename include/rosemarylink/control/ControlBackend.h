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
    OperationId operation; // for the audit entry and for settling a lost reply
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
    model::JobSpec job; // complete but for the id, which the backend derives from the account and the key
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

// What the operators' interface needs from the process that serves it. All methods may be called from several threads
// at once, and should return within the 10 s that rosemarylinkctl waits by default. A failure carries the verdict of
// the operation. Unless stated otherwise, Unavailable with a retry time is returned while the store is down.
class ControlBackend {
public:
    virtual ~ControlBackend() = default;

    // The configuration in force at this instance, with who, when and how far it has spread. Served from memory, as it
    // is read on each request to authenticate client accounts. Version 0 with no accounts before the first apply.
    virtual Result<api::ConfigView> currentConfig() = 0;

    // The stored configuration, read for a comparison before a write. It may be newer than currentConfig.
    virtual Result<api::ConfigView> storedConfig() = 0;

    // Fails with InvalidArgument when the guarantees together cannot be placed on the fleet; the message names the
    // guarantee and what is lacking. The one place where declarations are compared with the workers.
    virtual Status checkFeasibility(const model::Declarations&) = 0;

    // Stores a new version if the stored one is still the expected one. Fails with Conflict, naming who stored the
    // version in place and when. Returns the new version; it need not be in force everywhere yet.
    virtual Result<api::ConfigView> proposeConfig(const ConfigProposal&) = 0;

    // How far a version has spread. Does not need the store. NotFound for a version that was never stored, as far as
    // this instance knows.
    virtual Result<api::InForceView> inForce(ConfigVersion) = 0;

    // Audit entries, newest first, at most limit.
    virtual Result<api::AuditList> audit(const AuditQuery&) = 0;

    // Accepts a job durably. A repeated key of the same account returns the first submission's job. Fails with
    // InvalidArgument when the job can never run, and with Conflict when the key was used for a different job.
    virtual Result<api::JobView> submitJob(const JobSubmitRequest&) = 0;

    // Fails with NotFound for an unknown job.
    virtual Result<api::JobView> job(const JobId&) = 0;
    virtual Result<api::JobList> jobs(const JobQuery&) = 0;
    // The reason must not name other jobs, as accounts read it too; waitsFor names them, and OperatorApi removes those
    // of other accounts.
    virtual Result<api::JobExplanation> explainJob(const JobId&) = 0;

    // Asks for the end of a job and returns its state after that; a job that has ended stays as it is.
    virtual Result<api::JobView> cancelJob(const JobId&) = 0;

    virtual Result<api::AccountList> accounts() = 0;
    virtual Result<api::WorkerList> workers(const WorkerQuery&) = 0;

    // Does not need the store; says whether it answers.
    virtual Result<api::StatusView> status() = 0;

    // Success while the instance takes new requests; otherwise the reason, such as starting or leaving.
    virtual Status readiness() = 0;
};

} // namespace rosemarylink::control
