#include "rosemarylink/state/CellController.h"

#include "CellCore.h"

#include "rosemarylink/state/RecordCodec.h"

#include <mutex>

namespace rosemarylink::state {

using internal::CellCore;
using internal::JobWrite;
using internal::JobWriteOutcome;
using StoredJob = std::optional<std::pair<records::JobRecord, Revision>>;

class CellController::Impl {
public:
    Impl(CellSettings settings, CellDependencies dependencies)
        : store(dependencies.submissionStore != nullptr ? *dependencies.submissionStore : dependencies.store)
        , cell(settings.scope.cell)
        , core(std::move(settings), std::move(dependencies))
    {
    }

    // Whether no later owner had taken over the cell when the last write reached the store. A later owner lists the
    // jobs after it has acquired the lease and raised the token, so its list includes records written before that.
    Result<bool> stillOwner(const OperationId& leaseOperation, FencingToken token);

    KeyValueStore& store;
    CellId cell;
    mutable std::mutex mutex;
    CellCore core;
};

Result<bool> CellController::Impl::stillOwner(const OperationId& leaseOperation, FencingToken token)
{
    BOOST_OUTCOME_TRY(lease, store.read(cellLeaseKey(cell)));
    if (lease && operationOf(lease->bytes) == leaseOperation)
        return true;
    const std::string key = cellPlacementsKey(cell);
    BOOST_OUTCOME_TRY(stored, store.read(key));
    if (!stored)
        return false;
    BOOST_OUTCOME_TRY(record,
        decodeRecord<records::PlacementsRecord>(stored->bytes, key,
            [](const auto& json, const auto& path) { return records::parsePlacementsRecord(json, path); }));
    return record.token == token;
}

CellController::CellController(CellSettings settings, CellDependencies dependencies)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(dependencies)))
{
}

CellController::~CellController() = default;

bool CellController::step()
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->core.step();
}

Status CellController::configure(const policy::PolicyConfig& config)
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->core.configure(config);
}

void CellController::setCandidates(const std::vector<InstanceId>& candidates, const std::vector<CellId>& cells)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->core.setCandidates(candidates, cells);
}

void CellController::setWorkerState(const WorkerId& worker, model::ResourceState state)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->core.setWorkerState(worker, state);
}

namespace {

    struct WriteResult {
        JobWriteOutcome outcome = JobWriteOutcome::NotWritten;
        StoredJob stored;
        std::optional<Error> error;
    };

    WriteResult writeJob(KeyValueStore& store, const JobWrite& write)
    {
        const auto written = store.compareAndSwap(write.key, write.expected, encodeRecord(write.record));
        if (written)
            return { JobWriteOutcome::Written, std::pair(write.record, written.value()), std::nullopt };
        const Error& error = written.error();
        if (error.code == ErrorCode::Conflict) {
            const auto stored = internal::readJob(store, write.key);
            return { JobWriteOutcome::NotWritten, stored ? stored.value() : StoredJob {}, error };
        }
        const bool certain = error.verdict == Verdict::NotRun;
        return { certain ? JobWriteOutcome::NotWritten : JobWriteOutcome::Unknown, std::nullopt, error };
    }

    Error ownershipUnconfirmed(const JobId& job)
    {
        Error error = unavailable(
            "job " + job.value() + ": the ownership of the cell could not be confirmed; submit or cancel it again",
            Verdict::MayHaveRun);
        error.retryAfter = Milliseconds(2000);
        return error;
    }

} // namespace

Result<Submission> CellController::submit(const model::JobSpec& spec, const IdempotencyKey& key)
{
    std::unique_lock lock(impl_->mutex);
    CellCore& core = impl_->core;
    BOOST_OUTCOME_TRYV(core.checkOwner());
    BOOST_OUTCOME_TRY(earlier, core.findEarlier(spec));
    if (earlier)
        return *earlier;
    BOOST_OUTCOME_TRY(begun, core.beginSubmit(spec, key));
    const OperationId lease = core.leaseOperation();
    const FencingToken token = core.token();
    lock.unlock();

    const WriteResult result = writeJob(impl_->store, begun.second);
    const auto owner = result.stored ? impl_->stillOwner(lease, token) : Result<bool>(true);

    lock.lock();
    const bool sameOwner = core.epoch() == begun.second.epoch;
    core.finishSubmit(begun.second, result.outcome, result.stored);
    if (!result.stored)
        return result.error.value_or(ownershipUnconfirmed(spec.id));
    if (model::toJson(result.stored->first.spec) != model::toJson(spec))
        return makeError(ErrorCode::Conflict, "job " + spec.id.value() + " exists with another specification");
    if (!sameOwner || !owner || !owner.value())
        return ownershipUnconfirmed(spec.id);
    begun.first.existed = result.outcome != JobWriteOutcome::Written;
    return begun.first;
}

Status CellController::cancel(const JobId& job)
{
    std::unique_lock lock(impl_->mutex);
    CellCore& core = impl_->core;
    BOOST_OUTCOME_TRY(write, core.beginCancel(job));
    if (!write)
        return okStatus();
    const OperationId lease = core.leaseOperation();
    const FencingToken token = core.token();
    lock.unlock();

    const WriteResult result = writeJob(impl_->store, *write);
    const bool written = result.outcome == JobWriteOutcome::Written;
    const auto owner = written ? impl_->stillOwner(lease, token) : Result<bool>(true);

    lock.lock();
    const bool sameOwner = core.epoch() == write->epoch;
    core.finishCancel(*write, result.outcome, result.stored);
    if (result.stored && result.stored->first.state != records::JobState::Accepted && !written)
        return okStatus();
    if (result.error && result.error->code == ErrorCode::Conflict)
        return unavailable("job " + job.value() + " changed at the same time; cancel it again", Verdict::NotRun);
    if (!written)
        return result.error.value_or(ownershipUnconfirmed(job));
    if (!sameOwner || !owner || !owner.value())
        return ownershipUnconfirmed(job);
    return okStatus();
}

Result<policy::Explanation> CellController::explain(const JobId& job) const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->core.explain(job);
}

Result<JobStatus> CellController::job(const JobId& job) const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->core.job(job);
}

Result<JobProgress> CellController::progress(const JobId& job) const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->core.progress(job);
}

Result<std::vector<JobStatus>> CellController::listJobs() const
{
    const std::lock_guard lock(impl_->mutex);
    BOOST_OUTCOME_TRYV(impl_->core.checkOwner());
    return impl_->core.listJobs();
}

CellSnapshot CellController::snapshot() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->core.snapshot();
}

void CellController::leave()
{
    const std::lock_guard lock(impl_->mutex);
    impl_->core.leave();
}

bool CellController::hasLeft() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->core.hasLeft();
}

} // namespace rosemarylink::state
