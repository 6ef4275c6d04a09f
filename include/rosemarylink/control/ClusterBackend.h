#pragma once

#include "rosemarylink/control/CellChooser.h"
#include "rosemarylink/control/ControlBackend.h"
#include "rosemarylink/node/InstanceNode.h"
#include "rosemarylink/state/ResilientStore.h"

#include <functional>
#include <mutex>

namespace rosemarylink::control {

// The operators' requests as a gateway carries them out: configuration through the store and the links, jobs and cells
// through the owners of the cells.
class ClusterBackend final : public ControlBackend {
public:
    // All arguments must outlive the backend.
    ClusterBackend(node::InstanceNode&, state::ResilientStore&, const Clock&);

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

private:
    // What the owners of all cells say together.
    struct ClusterStatus {
        std::vector<api::CellView> cells;
        std::vector<api::GuaranteeView> guarantees;
        std::vector<api::AccountView> accounts;
        std::vector<WorkerId> quarantined;
    };

    Result<std::vector<model::WorkerSpec>> fleet();
    std::vector<InstanceId> owners() const;
    Result<std::vector<CellCandidate>> candidates(const model::JobSpec&);
    Result<CellId> bindToCell(const JobId&, const std::vector<CellCandidate>&);
    Result<CellId> rebindToCell(const JobId&, const CellId& refusedBy, const CellId& next);
    Result<api::JobView> submitToCell(const model::JobSpec&, const IdempotencyKey&, const CellId&);
    Result<nlohmann::json> callOwner(const InstanceId&, messages::JobAction, const nlohmann::json& request);
    Result<nlohmann::json> askAllOwners(messages::JobAction, const JobId&);
    ClusterStatus clusterStatus();

    node::InstanceNode& node_;
    state::ResilientStore& store_;
    const Clock& clock_;

    std::mutex fleetMutex_;
    std::vector<model::WorkerSpec> fleet_; // the platform's list as last read
    Milliseconds fleetReadAt_ { 0 };
};

// The id of a job: the same for each submission of an account under the same key.
JobId jobIdFor(const AccountId&, const IdempotencyKey&);

} // namespace rosemarylink::control
