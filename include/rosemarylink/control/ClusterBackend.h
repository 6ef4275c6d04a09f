#pragma once

#include "rosemarylink/control/CellRanking.h"
#include "rosemarylink/control/ControlBackend.h"
#include "rosemarylink/node/InstanceNode.h"
#include "rosemarylink/state/ResilientStore.h"

#include <functional>
#include <mutex>

namespace rosemarylink::control {

// Serves the operators' requests in a gateway. Configuration is read from and written to the store and the membership;
// requests about jobs and cells are forwarded to the instances that own the cells.
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
    // The combined answers of the owners of all cells.
    struct ClusterStatus {
        std::vector<api::CellView> cells;
        std::vector<api::GuaranteeView> guarantees;
        std::vector<api::AccountView> accounts;
        std::vector<WorkerId> quarantined;
    };

    Result<std::vector<model::WorkerSpec>> fleet();
    std::vector<InstanceId> cellOwners() const;
    Result<std::vector<CellCandidate>> cellCandidates(const model::JobSpec&);
    Result<CellId> bindToCell(const JobId&, const std::vector<CellCandidate>&);
    Result<CellId> rebindToCell(const JobId&, const CellId& refusedBy, const CellId& next);
    Result<api::JobView> submitToCell(const model::JobSpec&, const IdempotencyKey&, const CellId&);
    Result<nlohmann::json> callOwner(const InstanceId&, messages::JobAction, const nlohmann::json& request);
    Result<nlohmann::json> callOwnersUntilFound(messages::JobAction, const JobId&);
    ClusterStatus clusterStatus();

    node::InstanceNode& node_;
    state::ResilientStore& store_;
    const Clock& clock_;

    std::mutex fleetMutex_;
    std::vector<model::WorkerSpec> fleet_; // last list of workers read from the platform
    Milliseconds fleetReadAt_ { 0 };
};

// Derives a job's id from the account and the idempotency key, so that a repeated submission gets the same id.
JobId jobIdFor(const AccountId&, const IdempotencyKey&);

} // namespace rosemarylink::control
