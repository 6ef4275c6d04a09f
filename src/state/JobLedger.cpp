#include "JobLedger.h"

#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/state/RecordCodec.h"

namespace rosemarylink::state::internal {

namespace {

    constexpr std::size_t maxEndWritesPerCall = 32; // bounds the time that many ending jobs occupy a store thread
    constexpr Milliseconds endedRetention { 3600 * 1000 };

    Result<records::JobRecord> decodeJob(const std::string& bytes, const std::string& key)
    {
        return decodeRecord<records::JobRecord>(
            bytes, key, [](const auto& json, const auto& path) { return records::parseJobRecord(json, path); });
    }

} // namespace

Result<std::optional<std::pair<records::JobRecord, Revision>>> readJob(KeyValueStore& store, const std::string& key)
{
    BOOST_OUTCOME_TRY(stored, store.read(key));
    if (!stored)
        return std::optional<std::pair<records::JobRecord, Revision>> {};
    BOOST_OUTCOME_TRY(record, decodeJob(stored->bytes, key));
    return std::optional(std::pair(std::move(record), stored->revision));
}

JobLedger::JobLedger(CellContext& context, Ended ended)
    : context_(context)
    , ended_(std::move(ended))
{
}

void JobLedger::clear()
{
    entries_.clear();
    pendingEnds_.clear();
    unresolved_.clear();
    endedAt_.clear();
    callInProgress_ = false;
    nextCall_ = Milliseconds(0);
    retry_.succeeded();
}

void JobLedger::reset(const std::vector<KeyedValue>& listed, std::vector<std::string>& warnings)
{
    clear();
    const Timestamp oldest = context_.dependencies.clock.now() - endedRetention;
    for (const KeyedValue& value : listed) {
        auto record = decodeJob(value.value.bytes, value.key);
        if (!record) {
            warnings.push_back(record.error().message);
            continue;
        }
        if (record.value().state != records::JobState::Accepted && record.value().ended.value_or(oldest) <= oldest)
            continue;
        add(std::move(record).value(), value.value.revision);
    }
}

const LedgerEntry* JobLedger::find(const JobId& job) const
{
    const auto found = entries_.find(job);
    return found == entries_.end() ? nullptr : &found->second;
}

void JobLedger::add(records::JobRecord record, Revision revision)
{
    const JobId job = record.spec.id;
    // Results of calls on several threads may arrive out of order.
    if (const LedgerEntry* known = find(job); known != nullptr && revision < known->revision)
        return;
    if (record.state != records::JobState::Accepted)
        endedAt_.emplace_back(context_.now(), job);
    LedgerEntry& entry = entries_[job];
    entry.record = std::move(record);
    entry.revision = revision;
}

void JobLedger::end(const JobId& job, records::JobState state)
{
    const auto found = entries_.find(job);
    if (found == entries_.end() || found->second.ending)
        return;
    found->second.ending = true;
    pendingEnds_.push_back({ job, state });
}

void JobLedger::resolveUnknownWrite(const JobId& job, std::function<void(const JobId&)> found)
{
    unresolved_[job] = std::move(found);
}

void JobLedger::step()
{
    evictEnded();
    if (callInProgress_ || context_.now() < nextCall_)
        return;
    if (!pendingEnds_.empty())
        postEnds();
    else if (!unresolved_.empty())
        postUnresolvedRead();
}

void JobLedger::postEnds()
{
    std::vector<std::pair<EndWrite, LedgerEntry>> writes;
    while (!pendingEnds_.empty() && writes.size() < maxEndWritesPerCall) {
        writes.emplace_back(pendingEnds_.front(), entries_.at(pendingEnds_.front().job));
        pendingEnds_.pop_front();
    }
    callInProgress_ = true;
    context_.call(
        context_.dependencies.storeCalls,
        [&store = context_.dependencies.store, cell = context_.cell(), now = context_.dependencies.clock.now(),
            writes = std::move(writes)] {
            std::vector<EndResult> results;
            bool failed = false;
            for (const auto& [write, entry] : writes) {
                if (failed) {
                    results.push_back({ write, false, true, std::nullopt });
                    continue;
                }
                results.push_back(writeEnd(store, jobKey(cell, write.job), write, entry, now));
                failed = results.back().callFailed;
            }
            return results;
        },
        [this](const std::vector<EndResult>& results) { applyEnds(results); });
}

JobLedger::EndResult JobLedger::writeEnd(
    KeyValueStore& store, const std::string& key, const EndWrite& write, const LedgerEntry& entry, Timestamp now)
{
    if (entry.record.state != records::JobState::Accepted)
        return { write, true, false, std::nullopt };
    records::JobRecord record = entry.record;
    record.operation = makeRandomId<OperationId>();
    record.state = write.state;
    record.ended = now;
    const auto written = store.compareAndSwap(key, entry.revision, encodeRecord(record));
    if (written)
        return { write, true, false, std::pair(record, written.value()) };
    if (written.error().code != ErrorCode::Conflict)
        return { write, false, true, std::nullopt };
    // A cancellation request, or an earlier attempt of this write, has changed the record.
    auto stored = readJob(store, key);
    if (!stored || !stored.value())
        return { write, false, true, std::nullopt };
    const bool done = stored.value()->first.state != records::JobState::Accepted;
    return { write, done, false, std::move(stored).value() };
}

void JobLedger::applyEnds(const std::vector<EndResult>& results)
{
    callInProgress_ = false;
    bool failed = false;
    for (const EndResult& result : results) {
        failed = failed || result.callFailed;
        if (result.stored)
            add(result.stored->first, result.stored->second);
        if (!result.done) {
            pendingEnds_.push_back(result.write);
            continue;
        }
        entries_.at(result.write.job).ending = false;
        ended_(result.write.job);
    }
    if (failed)
        nextCall_ = context_.now() + retry_.next(context_);
    else
        retry_.succeeded();
}

void JobLedger::postUnresolvedRead()
{
    const JobId job = unresolved_.begin()->first;
    callInProgress_ = true;
    context_.call(
        context_.dependencies.storeCalls,
        [&store = context_.dependencies.store, key = jobKey(context_.cell(), job)] { return readJob(store, key); },
        [this, job](const Result<std::optional<std::pair<records::JobRecord, Revision>>>& result) {
            callInProgress_ = false;
            if (!result) {
                nextCall_ = context_.now() + retry_.next(context_);
                return;
            }
            retry_.succeeded();
            const auto waiting = unresolved_.extract(job);
            if (waiting.empty() || !result.value())
                return;
            add(result.value()->first, result.value()->second);
            waiting.mapped()(job);
        });
}

void JobLedger::evictEnded()
{
    while (!endedAt_.empty() && context_.now() - endedAt_.front().first > endedRetention) {
        const auto entry = entries_.find(endedAt_.front().second);
        if (entry != entries_.end() && entry->second.record.state != records::JobState::Accepted)
            entries_.erase(entry);
        endedAt_.pop_front();
    }
}

} // namespace rosemarylink::state::internal
