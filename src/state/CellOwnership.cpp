#include "CellOwnership.h"

#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/state/PreferenceOrder.h"
#include "rosemarylink/state/RecordCodec.h"

namespace rosemarylink::state::internal {

namespace {

    // The upper limit of the poll interval, which grows with a candidate's rank.
    constexpr Milliseconds maxPollInterval { 10000 };

    Result<std::pair<LeaseId, OperationId>> acquireLease(
        KeyValueStore& store, const CellId& cell, const InstanceId& self, Milliseconds ttl)
    {
        BOOST_OUTCOME_TRY(lease, store.grantLease(ttl));
        const records::CellLeaseRecord record { 1, makeRandomId<OperationId>(), cell, self };
        const auto written = store.compareAndSwap(cellLeaseKey(cell), Revision(0), encodeRecord(record), lease);
        if (!written) {
            (void)store.revokeLease(lease);
            return written.error();
        }
        return std::pair(lease, record.operation);
    }

    Result<records::PlacementsRecord> readPlacements(KeyValueStore& store, const CellId& cell, Revision& revision)
    {
        const std::string key = cellPlacementsKey(cell);
        BOOST_OUTCOME_TRY(stored, store.read(key));
        records::PlacementsRecord record;
        record.schemaVersion = 1;
        record.cell = cell;
        revision = Revision(0);
        if (!stored)
            return record;
        revision = stored->revision;
        return decodeRecord<records::PlacementsRecord>(stored->bytes, key,
            [](const auto& json, const auto& path) { return records::parsePlacementsRecord(json, path); });
    }

    // Raises the fencing token, then lists the jobs. An earlier owner that writes a job record after this list confirms
    // its lease and token before it reports the job as accepted, and that check fails.
    Result<ClaimedCell> fence(KeyValueStore& store, const CellId& cell)
    {
        ClaimedCell claimed;
        Revision revision;
        BOOST_OUTCOME_TRY(record, readPlacements(store, cell, revision));
        record.token += FencingToken(1);
        record.operation = makeRandomId<OperationId>();
        BOOST_OUTCOME_TRY(written, store.compareAndSwap(cellPlacementsKey(cell), revision, encodeRecord(record)));
        BOOST_OUTCOME_TRY(jobs, store.list(jobPrefix(cell)));
        // Without its job record a gang would be stopped, so the cell is left to instances that support the version.
        for (const KeyedValue& job : jobs) {
            const auto known = decodeCbor(job.value.bytes, 1, job.key);
            if (!known && known.error().code == ErrorCode::Unsupported)
                return known.error();
        }
        claimed.revision = written;
        claimed.record = std::move(record);
        claimed.jobs = std::move(jobs);
        return claimed;
    }

    Result<ClaimedCell> claimCell(KeyValueStore& store, const CellId& cell, const InstanceId& self, Milliseconds ttl)
    {
        BOOST_OUTCOME_TRY(lease, acquireLease(store, cell, self, ttl));
        Result<ClaimedCell> claimed = fence(store, cell);
        if (!claimed) {
            (void)store.revokeLease(lease.first);
            return claimed;
        }
        // If the lease expired during the claim, an earlier owner may have reacquired it and accepted jobs that are not
        // in the list above.
        BOOST_OUTCOME_TRYV(store.renewLease(lease.first));
        claimed.value().lease = lease.first;
        claimed.value().leaseOperation = lease.second;
        return claimed;
    }

    // Acquires the lease again after it expired. Fails with Conflict if another instance has owned the cell since.
    Result<std::pair<LeaseId, OperationId>> reacquireCell(
        KeyValueStore& store, const CellId& cell, const InstanceId& self, Milliseconds ttl, FencingToken token)
    {
        BOOST_OUTCOME_TRY(lease, acquireLease(store, cell, self, ttl));
        Revision revision;
        const auto record = readPlacements(store, cell, revision);
        if (record && record.value().token == token)
            return lease;
        (void)store.revokeLease(lease.first);
        if (!record)
            return record.error();
        return makeError(ErrorCode::Conflict, "a later owner has raised the fencing token");
    }

} // namespace

CellOwnership::CellOwnership(CellContext& context, Handlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
{
}

void CellOwnership::setCandidates(const std::vector<InstanceId>& candidates, const std::vector<CellId>& cells)
{
    const std::vector<InstanceId> order = preferenceOrder(OrderMethod::Chained, context_.cell(), cells, candidates);
    const auto self = std::find(order.begin(), order.end(), context_.settings.self);
    rank_.reset();
    if (self != order.end())
        rank_ = static_cast<std::size_t>(self - order.begin());
}

void CellOwnership::step(bool eligible)
{
    if (callInProgress_ || context_.now() < nextCall_)
        return;
    if (state_ == State::Watching && eligible && rank_)
        poll();
    else if (state_ == State::Holding)
        renew();
    else if (state_ == State::Reacquiring)
        reacquire();
}

void CellOwnership::requireConfirmation()
{
    if (!holds())
        return;
    confirmed_ = false;
    unconfirmedSince_ = context_.now();
    nextCall_ = context_.now();
}

void CellOwnership::reset()
{
    confirmed_ = true;
    if (state_ != State::Resigned)
        state_ = State::Watching;
    absentSince_.reset();
    nextCall_ = context_.now() + context_.jittered(context_.timings().candidatePoll);
}

bool CellOwnership::resign()
{
    if (callInProgress_)
        return false;
    if (state_ == State::Resigned)
        return true;
    const bool held = holds();
    state_ = State::Resigned;
    if (!held)
        return true;
    callInProgress_ = true;
    context_.callInAnyEpoch(
        context_.dependencies.storeCalls,
        [&store = context_.dependencies.store, lease = lease_] { return store.revokeLease(lease); },
        [this](const Status&) { callInProgress_ = false; });
    return false;
}

void CellOwnership::poll()
{
    callInProgress_ = true;
    context_.callInAnyEpoch(
        context_.dependencies.storeCalls,
        [&store = context_.dependencies.store, key = cellLeaseKey(context_.cell())] { return store.read(key); },
        [this](const Result<std::optional<StoredValue>>& result) {
            callInProgress_ = false;
            applyPoll(result);
        });
}

void CellOwnership::applyPoll(const Result<std::optional<StoredValue>>& result)
{
    if (!result) {
        nextCall_ = retryTime();
        // After a store outage the owner's lease has expired. Other candidates let it reacquire the lease first, since
        // a takeover would cost a recovery.
        claimAfter_ = context_.now() + 2 * context_.timings().storeRetryMaxDelay + context_.timings().leaseRenewal;
        return;
    }
    retry_.succeeded();
    const auto rank = static_cast<std::int64_t>(rank_.value_or(0));
    const Milliseconds now = context_.now();
    if (result.value()) {
        absentSince_.reset();
        const auto record = decodeRecord<records::CellLeaseRecord>(result.value()->bytes, cellLeaseKey(context_.cell()),
            [](const auto& json, const auto& path) { return records::parseCellLeaseRecord(json, path); });
        owner_ = record ? std::optional(record.value().owner) : std::nullopt;
        // The first candidate is often the failed owner itself, so the second one polls as often.
        nextCall_ = now + std::min(context_.timings().candidatePoll * std::max<std::int64_t>(rank, 1), maxPollInterval);
        return;
    }
    owner_.reset();
    if (!absentSince_)
        absentSince_ = now;
    nextCall_ = std::max(*absentSince_ + context_.timings().claimStagger * rank, claimAfter_);
    if (now >= nextCall_)
        claim();
}

void CellOwnership::claim()
{
    state_ = State::Claiming;
    callInProgress_ = true;
    context_.callInAnyEpoch(
        context_.dependencies.storeCalls,
        [&store = context_.dependencies.store, cell = context_.cell(), self = context_.settings.self,
            ttl = context_.timings().leaseTtl] { return claimCell(store, cell, self, ttl); },
        [this](Result<ClaimedCell> result) {
            callInProgress_ = false;
            applyClaim(std::move(result));
        });
}

void CellOwnership::applyClaim(Result<ClaimedCell> result)
{
    absentSince_.reset();
    if (!result) {
        state_ = State::Watching;
        nextCall_ = retryTime();
        if (result.error().code != ErrorCode::Conflict)
            context_.log.warning("cell claim failed", { { "cell", context_.cell() }, { "error", result.error() } });
        return;
    }
    retry_.succeeded();
    state_ = State::Holding;
    lease_ = result.value().lease;
    leaseOperation_ = result.value().leaseOperation;
    owner_ = context_.settings.self;
    // The calls of the claim took an unknown part of the lease term, so the first renewal is due at once.
    nextCall_ = context_.now();
    handlers_.claimed(std::move(result).value());
}

void CellOwnership::renew()
{
    callInProgress_ = true;
    context_.callInAnyEpoch(
        context_.dependencies.storeCalls,
        [&store = context_.dependencies.store, lease = lease_] { return store.renewLease(lease); },
        [this, sent = context_.now()](const Status& status) {
            callInProgress_ = false;
            if (state_ == State::Holding)
                applyRenewal(status, sent);
        });
}

void CellOwnership::applyRenewal(const Status& status, Milliseconds sent)
{
    if (status) {
        retry_.succeeded();
        confirmed_ = confirmed_ || sent >= unconfirmedSince_;
        nextCall_ = sent + context_.timings().leaseRenewal;
        return;
    }
    if (status.error().code != ErrorCode::NotFound) {
        nextCall_ = retryTime();
        return;
    }
    context_.log.warning("cell lease expired, reacquiring it", { { "cell", context_.cell() } });
    state_ = State::Reacquiring;
    nextCall_ = context_.now() + context_.jittered(Milliseconds(1000));
}

void CellOwnership::reacquire()
{
    callInProgress_ = true;
    context_.callInAnyEpoch(
        context_.dependencies.storeCalls,
        [&store = context_.dependencies.store, cell = context_.cell(), self = context_.settings.self,
            ttl = context_.timings().leaseTtl,
            token = context_.token] { return reacquireCell(store, cell, self, ttl, token); },
        [this](const Result<std::pair<LeaseId, OperationId>>& result) {
            callInProgress_ = false;
            if (state_ == State::Reacquiring)
                applyReacquisition(result);
        });
}

void CellOwnership::applyReacquisition(const Result<std::pair<LeaseId, OperationId>>& result)
{
    if (result) {
        retry_.succeeded();
        state_ = State::Holding;
        confirmed_ = true;
        lease_ = result.value().first;
        leaseOperation_ = result.value().second;
        nextCall_ = context_.now();
        return;
    }
    nextCall_ = retryTime();
    if (result.error().code == ErrorCode::Conflict)
        handlers_.lost("another instance holds the lease");
}

} // namespace rosemarylink::state::internal
