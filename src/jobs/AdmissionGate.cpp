#include "AdmissionGate.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/jobs/Catalog.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    // A closure that was read longer ago is read anew with the next submission.
    constexpr Milliseconds confirmedFor { 1000 };

    // Ordinary jobs are estimated at 3 to 10 KB, so that this is more than a hundred of them a second.
    constexpr std::size_t acceptedBytesPerSecond = 1024 * 1024;
    constexpr std::size_t acceptedBytesAtOnce = 4 * acceptedBytesPerSecond;

    const Logger logger("admission");

} // namespace

void AdmissionGate::refill(Milliseconds now)
{
    const Milliseconds elapsed = filledAt_ ? now - *filledAt_ : Milliseconds(0);
    const std::size_t added = static_cast<std::size_t>(elapsed.count()) * acceptedBytesPerSecond / 1000;
    allowance_ = filledAt_ ? std::min(acceptedBytesAtOnce, allowance_ + added) : acceptedBytesAtOnce;
    filledAt_ = now;
}

AdmissionGate::Decision AdmissionGate::decide(const AccountId& account, std::size_t jobBytes, Milliseconds now)
{
    if (isClosed(account) && now - confirmedAt_ < confirmedFor)
        return Decision::Closed;
    refill(now);
    // A job over the whole allowance passes when nothing else has.
    return allowance_ >= std::min(jobBytes, acceptedBytesAtOnce) ? Decision::Open : Decision::TooFast;
}

void AdmissionGate::admit(std::size_t jobBytes) { allowance_ -= std::min(allowance_, jobBytes); }

Precondition AdmissionGate::condition(const AccountId& account) const
{
    return { keys::closure, isClosed(account) ? Revision(0) : revision_ };
}

bool AdmissionGate::update(const Record& record, Milliseconds now)
{
    confirmedAt_ = now;
    if (record.revision == revision_)
        return false;
    AdmissionClosure closure;
    if (record.revision != Revision(0)) {
        const auto parsed = parseClosureRecord(record.value);
        if (parsed)
            closure = parsed.value();
        else
            logger.error("Record of the closed accounts is malformed", { { "reason", parsed.error().message } });
    }
    logger.info("Admission of new jobs has changed",
        { { "closedForAll", closure.all }, { "closedAccounts", closure.accounts.size() },
            { "revision", record.revision.value() } });
    closure_ = std::move(closure);
    revision_ = record.revision;
    return true;
}

} // namespace rosemarylink::jobs::internal
