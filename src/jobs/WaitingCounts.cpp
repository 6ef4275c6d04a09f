#include "rosemarylink/jobs/WaitingCounts.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/jobs/Catalog.h"

#include <exception>
#include <utility>

namespace rosemarylink::jobs {

namespace {

    constexpr Milliseconds storeTimeout { 900 }; // without progress

    // A count of waiting jobs is used for this long after it was requested; the platform allows 2 s.
    constexpr Milliseconds maximumCountAge { 1000 };

    // A list without a response is sent again after this time. It exceeds the time that a long list takes on a small
    // link.
    constexpr Milliseconds longestList { 10000 };

    const char* const countDuty = "waiting-count";

    const Logger logger("admission");

} // namespace

WaitingCounts::WaitingCounts(RecordStore& store, const Clock& clock, JobMetrics& metrics)
    : store_(store)
    , clock_(clock)
    , metrics_(metrics)
{
}

void WaitingCounts::count(const QueueId& queue, const Handler& handler)
{
    Count& count = counts_[queue];
    const Milliseconds now = clock_.monotonic();
    if (count.requestedAt && now - *count.requestedAt <= maximumCountAge) {
        handler(count.jobs);
        return;
    }
    if (!count.waiting.empty() && now - count.listSentAt >= longestList)
        fail(queue, "no-response");
    count.waiting.push_back(handler);
    if (count.waiting.size() == 1)
        sendList(queue);
}

void WaitingCounts::sendList(const QueueId& queue)
{
    Count& count = counts_[queue];
    count.listSentAt = clock_.monotonic();
    try {
        store_.list(keys::waitingPrefix(queue), storeTimeout,
            [this, queue, list = ++count.list](const StoreResponse& response) { handleList(queue, list, response); });
    } catch (const std::exception& problem) {
        logger.error("List of waiting jobs threw an exception", { { "queue", queue }, { "reason", problem.what() } });
        fail(queue, "exception");
    }
}

void WaitingCounts::handleList(const QueueId& queue, std::uint64_t list, const StoreResponse& response)
{
    Count& count = counts_[queue];
    if (list != count.list || count.waiting.empty())
        return; // a late or second response
    if (response.done()) {
        count.jobs = response.records.size();
        count.requestedAt = count.listSentAt;
    }
    notify(count, response.done() ? std::optional(count.jobs) : std::nullopt);
}

void WaitingCounts::fail(const QueueId& queue, const char* cause)
{
    Count& count = counts_[queue];
    logger.error("Waiting jobs were not counted; the list is sent again for the next caller",
        { { "queue", queue }, { "cause", cause }, { "callers", count.waiting.size() } });
    metrics_.countDutyRestart(countDuty, cause);
    ++count.list; // a response that still comes is ignored
    notify(count, std::nullopt);
}

void WaitingCounts::notify(Count& count, std::optional<std::size_t> jobs)
{
    for (const Handler& handler : std::exchange(count.waiting, {}))
        handler(jobs);
}

} // namespace rosemarylink::jobs
