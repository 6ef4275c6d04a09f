#include "SimStore.h"

#include <algorithm>

namespace rosemarylink::jobs {

namespace {

    constexpr Milliseconds linkStep { 5 }; // resolution of transfers
    constexpr Milliseconds watchMargin { 700 }; // time after its wait at which a watch without a response fails
    constexpr std::size_t messageOverhead = 200; // of a response, and of each record in it

    bool hasPrefix(const std::string& key, const std::string& prefix)
    {
        return key.compare(0, prefix.size(), prefix) == 0;
    }

    // Size of a response in which values are encoded in base64.
    std::size_t sizeOf(const StoreResponse& response)
    {
        std::size_t bytes = messageOverhead;
        for (const Record& record : response.records)
            bytes += messageOverhead + record.key.size() + record.value.size() * 4 / 3;
        return bytes;
    }

} // namespace

Revision SimStore::put(const std::string& key, const std::string& value)
{
    revision_ += Revision(1);
    change(key, &value, revision_);
    notify();
    return revision_;
}

void SimStore::remove(const std::string& key)
{
    revision_ += Revision(1);
    change(key, nullptr, revision_);
    notify();
}

const Record* SimStore::find(const std::string& key) const
{
    const auto position = records_.find(key);
    return position == records_.end() ? nullptr : &position->second;
}

std::size_t SimStore::countWithPrefix(const std::string& prefix) const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(), [&prefix](const auto& entry) { return hasPrefix(entry.first, prefix); }));
}

void SimStore::change(const std::string& key, const std::string* value, Revision revision)
{
    if (!value && records_.count(key) == 0)
        return;
    leaseOf_.erase(key);
    const Record record { key, value ? *value : "", revision };
    if (value)
        records_[key] = record;
    else
        records_.erase(key);
    history_.push_back({ revision, record, value == nullptr });
}

StoreResponse SimStore::changesWithPrefix(const std::string& prefix, Revision after) const
{
    StoreResponse response;
    response.outcome = after < historyStart_ ? StoreOutcome::HistoryGone : StoreOutcome::Done;
    response.revision = revision_;
    if (!response.done())
        return response;
    for (const Change& change : history_) {
        if (change.revision <= after || !hasPrefix(change.record.key, prefix))
            continue;
        if (change.removed)
            response.removedKeys.push_back(change.record.key);
        else
            response.records.push_back(change.record);
    }
    return response;
}

void SimStore::notify()
{
    for (auto position = watchers_.begin(); position != watchers_.end();) {
        const StoreResponse response = changesWithPrefix(position->prefix, position->after);
        if (response.done() && response.records.empty() && response.removedKeys.empty()) {
            ++position;
            continue;
        }
        const auto handler = position->handler;
        position = watchers_.erase(position);
        handler(response);
    }
}

void SimStore::expireLeases()
{
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.first > world_.now()) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, id] : leaseOf_) {
            if (id == lease->first)
                keys.push_back(key);
        }
        lease = leases_.erase(lease);
        for (const std::string& key : keys)
            remove(key);
    }
}

StoreResponse SimStore::apply(const Batch& batch)
{
    StoreResponse response;
    response.outcome = StoreOutcome::Done;
    for (const Precondition& condition : batch.preconditions) {
        const Record* const record = find(condition.key);
        const Revision revision = record ? record->revision : Revision(0);
        if (revision != condition.revision)
            response.outcome = StoreOutcome::Conflict;
        response.records.push_back(record ? *record : Record { condition.key, "", Revision(0) });
    }
    if (!response.done())
        return response;
    response.records.clear();
    response.revision = revision_;
    if (!batch.hasChanges())
        return response;
    for (const Put& put : batch.puts) {
        if (put.value.size() > valueBytes) {
            response.outcome = StoreOutcome::Unknown; // as for any status that the client does not know
            return response;
        }
        if (put.lease != 0 && leases_.count(put.lease) == 0) {
            response.outcome = StoreOutcome::NotFound;
            return response;
        }
    }
    revision_ += Revision(1);
    for (const Put& put : batch.puts) {
        change(put.key, &put.value, revision_);
        if (put.lease != 0)
            leaseOf_[put.key] = put.lease;
    }
    for (const std::string& key : batch.removals)
        change(key, nullptr, revision_);
    response.revision = revision_;
    notify();
    return response;
}

SimLink::TransferId SimLink::transfer(std::size_t bytes, std::function<void()> arrived)
{
    transfers_[++lastId_] = { static_cast<double>(bytes), std::move(arrived) };
    if (!std::exchange(advancing_, true))
        advance();
    return lastId_;
}

void SimLink::advance()
{
    world_.after(linkStep, [this] {
        const double share = bytesPerMillisecond * static_cast<double>(linkStep.count())
            / static_cast<double>(std::max<std::size_t>(1, transfers_.size()));
        std::vector<std::function<void()>> arrivals;
        for (auto position = transfers_.begin(); position != transfers_.end();) {
            Transfer& transfer = position->second;
            bytesCarried += std::min(share, transfer.bytesLeft);
            transfer.bytesLeft -= share;
            if (transfer.bytesLeft > 0) {
                ++position;
                continue;
            }
            arrivals.push_back(std::move(transfer.arrived));
            position = transfers_.erase(position);
        }
        advancing_ = !transfers_.empty();
        if (advancing_)
            advance();
        for (const auto& arrived : arrivals)
            arrived();
    });
}

void SimStoreClient::deliver(
    std::optional<Milliseconds> deadline, const StoreHandler& handler, const StoreResponse& response)
{
    if (link.bytesPerMillisecond <= 0) {
        respondLater(latency(), handler, response);
        return;
    }
    const auto responded = std::make_shared<bool>(false);
    const SimLink::TransferId transfer = link.transfer(sizeOf(response), [this, responded, handler, response] {
        if (!std::exchange(*responded, true))
            respondLater(latency(), handler, response);
    });
    if (!deadline)
        return;
    world_.after(*deadline - world_.now(), [this, responded, handler, transfer] {
        if (std::exchange(*responded, true))
            return;
        link.abandon(transfer);
        respondLater(Milliseconds(0), handler, StoreResponse {});
    });
}

void SimStoreClient::respondLater(Milliseconds delay, const StoreHandler& handler, const StoreResponse& response)
{
    world_.after(delay, [this, handler, response] {
        if (world_.now() < pausedUntil)
            respondLater(pausedUntil - world_.now(), handler, response);
        else if (!killed)
            handler(response);
    });
}

void SimStoreClient::call(
    Milliseconds timeout, const StoreHandler& handler, const std::function<StoreResponse()>& operation, CallKind kind)
{
    if (killed)
        return;
    ++calls;
    StoreResponse failure;
    if (disconnected || store_.mode == SimStore::Mode::Silent) {
        failure.outcome = StoreOutcome::Unknown;
        respondLater(timeout, handler, failure);
        return;
    }
    if (store_.mode == SimStore::Mode::Refusing || (store_.refusesWrites && kind != CallKind::Other)) {
        failure.outcome = StoreOutcome::Refused;
        respondLater(latency() * 2, handler, failure);
        return;
    }
    const bool lost
        = (kind != CallKind::Other && std::uniform_real_distribution<>(0, 1)(store_.random) < store_.lostResponseShare)
        || store_.losesAnyCall();
    if (lost) {
        failure.outcome = StoreOutcome::Unknown;
        respondLater(timeout, handler, failure);
        world_.after(latency() + store_.lostResponseWriteDelay, [this, operation] {
            store_.expireLeases();
            operation();
        });
        return;
    }
    if (latency() * 2 > timeout) {
        failure.outcome = StoreOutcome::Unknown;
        respondLater(timeout, handler, failure);
        world_.after(latency(), [this, operation] {
            store_.expireLeases();
            operation();
        });
        return;
    }
    std::optional<Milliseconds> deadline;
    if (kind == CallKind::Write)
        deadline = world_.now() + timeout;
    world_.after(latency(), [this, handler, operation, deadline] {
        store_.expireLeases();
        deliver(deadline, handler, operation());
    });
}

void SimStoreClient::commit(const Batch& batch, Milliseconds timeout, StoreHandler handler)
{
    call(
        timeout, handler, [this, batch] { return store_.apply(batch); },
        batch.hasChanges() ? CallKind::Write : CallKind::Precondition);
}

void SimStoreClient::read(const std::string& key, Milliseconds timeout, StoreHandler handler)
{
    const auto operation = [this, key] {
        StoreResponse response;
        response.revision = store_.revision_;
        const Record* const record = store_.find(key);
        response.outcome = record ? StoreOutcome::Done : StoreOutcome::NotFound;
        if (record)
            response.records.push_back(*record);
        return response;
    };
    call(timeout, handler, operation, CallKind::Other);
}

void SimStoreClient::list(const std::string& prefix, Milliseconds timeout, StoreHandler handler)
{
    ++lists[prefix];
    const auto operation = [this, prefix] {
        StoreResponse response;
        response.outcome = StoreOutcome::Done;
        response.revision = store_.revision_;
        for (const auto& [key, record] : store_.records_) {
            if (hasPrefix(key, prefix))
                response.records.push_back(record);
        }
        return response;
    };
    call(timeout, handler, operation, CallKind::Other);
}

void SimStoreClient::watch(const std::string& prefix, Revision after, Milliseconds wait, StoreHandler handler)
{
    const auto responded = std::make_shared<bool>(false);
    if (store_.losesAnyCall()) {
        respondLater(wait + watchMargin, handler, StoreResponse {});
        return;
    }
    const auto respondOnce = [this, responded, handler](const StoreResponse& response) {
        if (!std::exchange(*responded, true))
            deliver(std::nullopt, handler, response);
    };
    world_.after(wait, [this, respondOnce] {
        StoreResponse response;
        response.outcome
            = disconnected || store_.mode != SimStore::Mode::Up ? StoreOutcome::Unknown : StoreOutcome::Done;
        respondOnce(response);
    });
    if (disconnected || store_.mode != SimStore::Mode::Up)
        return;
    const StoreResponse changes = store_.changesWithPrefix(prefix, after);
    if (!changes.done() || !changes.records.empty() || !changes.removedKeys.empty())
        respondOnce(changes);
    else
        store_.watchers_.push_back({ prefix, after, [this, respondOnce](const StoreResponse& response) {
                                        if (!disconnected)
                                            respondOnce(response);
                                    } });
}

void SimStoreClient::grantLease(Milliseconds ttl, Milliseconds timeout, StoreHandler handler)
{
    const auto operation = [this, ttl] {
        StoreResponse response;
        response.outcome = StoreOutcome::Done;
        response.lease = ++store_.lastLease_;
        response.leaseTtl = ttl;
        store_.leases_[response.lease] = { world_.now() + ttl, ttl };
        world_.after(ttl + Milliseconds(1), [this] { store_.expireLeases(); });
        return response;
    };
    call(timeout, handler, operation, CallKind::Other);
}

void SimStoreClient::keepLease(StoreLeaseId lease, Milliseconds timeout, StoreHandler handler)
{
    const auto operation = [this, lease] {
        StoreResponse response;
        const auto position = store_.leases_.find(lease);
        response.outcome = position == store_.leases_.end() ? StoreOutcome::NotFound : StoreOutcome::Done;
        if (response.done()) {
            response.leaseTtl = position->second.second;
            position->second.first = world_.now() + position->second.second;
            world_.after(position->second.second + Milliseconds(1), [this] { store_.expireLeases(); });
        }
        return response;
    };
    call(timeout, handler, operation, CallKind::Other);
}

void SimStoreClient::endLease(StoreLeaseId lease, Milliseconds timeout, StoreHandler handler)
{
    const auto operation = [this, lease] {
        StoreResponse response;
        response.outcome = StoreOutcome::Done;
        const auto position = store_.leases_.find(lease);
        if (position != store_.leases_.end())
            position->second.first = Milliseconds(0);
        store_.expireLeases();
        return response;
    };
    call(timeout, handler, operation, CallKind::Other);
}

} // namespace rosemarylink::jobs
