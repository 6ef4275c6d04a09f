#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

namespace rosemarylink::jobs::internal {

namespace {

    constexpr Milliseconds commitTimeout { 1000 };
    constexpr Milliseconds readTimeout { 1500 };

    // A write without a response counts as unanswered after this time, and may be executed up to this long after it was
    // sent.
    constexpr Milliseconds longestWrite { 2000 };
    constexpr Milliseconds longestLateWrite { 15000 };

    // The jobs that are held are counted anew at this interval, and their submissions as they arrive.
    constexpr Milliseconds countInterval { 1000 };

    const Logger logger("admission");

} // namespace

// Reads the closure of the previous owner, which may have to be lifted, or what has become of a write without a
// response.
void OwnerSession::loadClosure()
{
    if (closureRequestedAt_ && now() - *closureRequestedAt_ < readTimeout)
        return;
    closureRequestedAt_ = now();
    owner_.store_.read(
        keys::closure, readTimeout, guarded([this, writes = closureWrites_](const StoreResponse& response) {
            if (writes != closureWrites_ || (!response.done() && response.outcome != StoreOutcome::NotFound))
                return;
            closureLoaded_ = true;
            closure_ = {};
            closureRevision_ = Revision(0);
            if (!response.done())
                return;
            closureRevision_ = response.records.front().revision;
            if (auto closure = parseClosureRecord(response.records.front().value))
                closure_ = std::move(closure).value();
            else
                logger.error("Record of the closed accounts is malformed", { { "reason", closure.error().message } });
        }));
}

void OwnerSession::countHeldJobs()
{
    jobMemory_.clear();
    for (const auto& [id, job] : jobs_)
        jobMemory_.add(job.spec.account, jobBytes(job));
    jobsCountedAt_ = now();
    owner_.metrics_.setHeldJobs(jobs_.size(), jobMemory_.total());
}

// Closes the admission of new jobs for the accounts that hold too much, or opens it again.
void OwnerSession::updateClosure()
{
    if (!incomingLoaded_)
        return;
    if (!closureLoaded_ || now() < closureUncertainUntil_)
        loadClosure();
    if (!closureLoaded_)
        return;
    if (now() - jobsCountedAt_ >= countInterval)
        countHeldJobs();
    const AdmissionClosure wanted = jobMemory_.closure(closure_);
    const bool stored = closureRevision_ != Revision(0);
    if (closureWriting_ && now() - closureWrittenAt_ >= longestWrite) {
        logger.error("Closure of the admission got no response", { { "limitMs", longestWrite.count() } });
        closureWriting_ = false;
        closureUncertainUntil_ = now() + longestLateWrite;
        return;
    }
    if (closureWriting_ || (wanted == closure_ && stored == !wanted.empty()))
        return;
    Batch batch;
    batch.preconditions = { owner_.ownership_.condition(), { keys::closure, closureRevision_ } };
    if (wanted.empty())
        batch.removals = { keys::closure };
    else
        batch.puts = { { keys::closure, closureRecord(wanted) } };
    closureWriting_ = true;
    closureWrittenAt_ = now();
    owner_.store_.commit(batch, commitTimeout, guarded([this, wanted, number = ++closureWrites_](const auto& response) {
        if (!closureWriting_ || number != closureWrites_)
            return;
        closureWriting_ = false;
        if (response.done()) {
            closure_ = wanted;
            closureRevision_ = wanted.empty() ? Revision(0) : response.revision;
            logger.warning("Admission of new jobs is changed by the memory that jobs hold",
                { { "jobs", jobs_.size() }, { "heldBytes", jobMemory_.total() }, { "closedForAll", wanted.all },
                    { "closedAccounts", wanted.accounts.size() }, { "token", token_ } });
            return;
        }
        logger.warning("Closure of the admission was not stored; it is tried again",
            { { "outcomeUnknown", response.outcome == StoreOutcome::Unknown } });
        if (response.outcome == StoreOutcome::Conflict)
            updateRevisions(response.records);
        if (response.outcome == StoreOutcome::Unknown)
            closureUncertainUntil_ = now() + longestLateWrite;
    }));
}

} // namespace rosemarylink::jobs::internal
