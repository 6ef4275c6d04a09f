#include "PlacementsWriter.h"

#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/state/RecordCodec.h"

namespace rosemarylink::state::internal {

PlacementsWriter::PlacementsWriter(CellContext& context, Handlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
{
}

void PlacementsWriter::reset(Revision revision)
{
    revision_ = revision;
    dirty_ = false;
    callInProgress_ = false;
    unresolved_.reset();
    retry_.succeeded();
    nextWrite_ = context_.now();
}

void PlacementsWriter::step()
{
    if ((!dirty_ && !unresolved_) || callInProgress_ || context_.now() < nextWrite_)
        return;
    records::PlacementsRecord record = handlers_.snapshot();
    record.operation = makeRandomId<OperationId>();
    dirty_ = false;
    callInProgress_ = true;
    nextWrite_ = context_.now() + context_.timings().batchInterval;
    context_.call(
        context_.dependencies.storeCalls,
        [&store = context_.dependencies.store, key = cellPlacementsKey(context_.cell()), expected = revision_,
            unresolved = unresolved_, record]() mutable {
            const Attempt attempt = write(store, key, expected, unresolved, record);
            return std::pair(attempt, std::move(record));
        },
        [this](std::pair<Attempt, records::PlacementsRecord> result) {
            callInProgress_ = false;
            apply(result.first, std::move(result.second));
        });
}

PlacementsWriter::Attempt PlacementsWriter::write(KeyValueStore& store, const std::string& key, Revision expected,
    const std::optional<records::PlacementsRecord>& unresolved, const records::PlacementsRecord& record)
{
    if (unresolved) {
        const auto stored = store.read(key);
        if (!stored)
            return { Outcome::StillUnknown, {} };
        const Revision present = stored.value() ? stored.value()->revision : Revision(0);
        if (stored.value() && operationOf(stored.value()->bytes) == unresolved->operation)
            return { Outcome::EarlierWriteFound, present };
        if (present != expected)
            return { Outcome::Lost, {} };
    }
    const auto written = store.compareAndSwap(key, expected, encodeRecord(record));
    if (written)
        return { Outcome::Written, written.value() };
    if (written.error().code == ErrorCode::Conflict)
        return { Outcome::Lost, {} };
    return { written.error().verdict == Verdict::NotRun ? Outcome::Failed : Outcome::Unknown, {} };
}

void PlacementsWriter::apply(const Attempt& attempt, records::PlacementsRecord record)
{
    switch (attempt.outcome) {
    case Outcome::Written:
        revision_ = attempt.revision;
        unresolved_.reset();
        retry_.succeeded();
        handlers_.written(record);
        return;
    case Outcome::EarlierWriteFound: {
        revision_ = attempt.revision;
        dirty_ = true;
        retry_.succeeded();
        const records::PlacementsRecord earlier = *std::exchange(unresolved_, std::nullopt);
        handlers_.written(earlier);
        return;
    }
    case Outcome::Lost:
        handlers_.lost("a later owner has written the placements record");
        return;
    case Outcome::Failed:
        unresolved_.reset();
        break;
    case Outcome::Unknown:
        unresolved_ = std::move(record);
        break;
    case Outcome::StillUnknown:
        break;
    }
    dirty_ = true;
    nextWrite_ = context_.now() + retry_.next(context_);
}

} // namespace rosemarylink::state::internal
