#include "IdempotentRun.h"

#include "RequestMetrics.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

namespace rosemarylink::gateway::internal {

namespace {

    // Slices of the wait for an answer, after which the caller's departure is noticed.
    constexpr Milliseconds waitSlice { 20 };
    // Attempts that fail before anything was sent cost the upstreams nothing and need no budget, but end at some point.
    constexpr int maximumAttempts = 6;
    constexpr Milliseconds firstBackOff { 10 };
    constexpr Milliseconds maximumBackOff { 200 };

    Milliseconds jitter(Milliseconds limit)
    {
        thread_local std::mt19937_64 random { std::random_device {}() };
        return Milliseconds(std::uniform_int_distribution<std::int64_t>(0, limit.count())(random));
    }

} // namespace

IdempotentRun::IdempotentRun(const GatewayRequest& request, ServicePool& pool, RetryBudget& budget,
    const RetryOptions& options, const Clock& clock, RequestMetrics& metrics)
    : request_(request)
    , pool_(pool)
    , budget_(budget)
    , options_(options)
    , clock_(clock)
    , metrics_(metrics)
    , slotRequest_(slotRequest(request))
{
}

Result<UpstreamAnswer> IdempotentRun::run()
{
    budget_.earn();
    for (int attempt = 1;; ++attempt) {
        auto answer = runOnce();
        if (answer)
            return answer;
        const Error error = note(answer.error());
        if (!mayRetry(error, attempt))
            return error;
        backOff(attempt);
    }
}

Error IdempotentRun::note(Error error)
{
    if (error.verdict != Verdict::NotRun)
        verdict_ = Verdict::MayHaveRun;
    error.verdict = verdict_;
    return error;
}

bool IdempotentRun::mayRetry(const Error& error, int attempt)
{
    // Refusals of admission say when to come back; only the failure of an upstream is worth another one.
    if (error.code != ErrorCode::Unavailable || error.retryAfter || attempt >= maximumAttempts)
        return false;
    if (request_.cancelled && request_.cancelled())
        return false;
    if (static_cast<double>(remaining().count()) < pool_.meanDuration())
        return false;
    if (!sent_ || std::exchange(retryPaid_, false))
        return true;
    return budget_.spend();
}

void IdempotentRun::backOff(int attempt) const
{
    const Milliseconds limit = std::min(maximumBackOff, firstBackOff * (1 << (attempt - 1)));
    std::this_thread::sleep_for(std::min(jitter(limit), std::max(Milliseconds(0), remaining())));
}

Result<UpstreamAnswer> IdempotentRun::runOnce()
{
    BOOST_OUTCOME_TRY(slot, pool_.acquire(slotRequest_, request_.cancelled));
    const bool isRetry = sent_;
    Calls calls;
    slotRequest_.tried.insert(slot.upstream);
    BOOST_OUTCOME_TRY(call, openCall(pool_, slot, false, request_.deadline, clock_, metrics_));
    if (isRetry)
        metrics_.retries.add();
    sent_ = true;
    BOOST_OUTCOME_TRYV(call->send(request_.upstreamRequest, std::min(remaining(), options_.progressTimeout)));
    calls.push_back(std::move(call));
    return collect(calls);
}

Result<UpstreamAnswer> IdempotentRun::collect(Calls& calls)
{
    Error last = unavailable("no upstream answered", Verdict::MayHaveRun);
    while (!calls.empty()) {
        if (UpstreamCall* ready = waitForAnswer(calls, std::min(waitSlice, remaining()))) {
            auto answer = ready->receive(std::max(Milliseconds(1), remaining()), options_.progressTimeout);
            // The other copies are closed with their calls; their late answers reach nobody.
            if (answer)
                return answer;
            last = note(answer.error());
            calls.erase(
                std::find_if(calls.begin(), calls.end(), [ready](const auto& call) { return call.get() == ready; }));
            continue;
        }
        if (remaining() <= Milliseconds(0)) {
            for (const auto& call : calls)
                call->expire();
            return Error { ErrorCode::DeadlineExceeded, "no answer before the deadline", Verdict::MayHaveRun,
                std::nullopt };
        }
        if (request_.cancelled && request_.cancelled()) {
            metrics_.cancellations.add();
            return Error { ErrorCode::DeadlineExceeded, "the caller left", Verdict::MayHaveRun, std::nullopt };
        }
        sendHedge(calls);
        if (dropSilent(calls))
            return unavailable("the connection went silent", Verdict::MayHaveRun);
    }
    return last;
}

void IdempotentRun::sendHedge(Calls& calls)
{
    if (!request_.urgent || hedged_ || calls.size() != 1)
        return;
    const double delay = std::max(static_cast<double>(options_.hedgeDelay.count()), pool_.percentile95());
    if (static_cast<double>(calls.front()->elapsed().count()) < delay || !budget_.spend())
        return;
    hedged_ = true;
    if (hedgeTo(pool_.tryAcquire(slotRequest_), calls))
        metrics_.hedges.add();
    else
        budget_.refund();
}

bool IdempotentRun::hedgeTo(const std::optional<Slot>& slot, Calls& calls)
{
    if (!slot)
        return false;
    if (!slotRequest_.tried.insert(slot->upstream).second) {
        pool_.release(*slot, UpstreamOutcome::Unused);
        return false;
    }
    auto call = openCall(pool_, *slot, false, request_.deadline, clock_, metrics_);
    if (!call)
        return false;
    if (call.value()->send(request_.upstreamRequest, std::min(remaining(), options_.progressTimeout)))
        calls.push_back(std::move(call).value());
    return true;
}

bool IdempotentRun::dropSilent(Calls& calls)
{
    if (calls.size() != 1 || calls.front()->elapsed() < options_.progressTimeout || retryPaid_ || !budget_.spend())
        return false;
    // Without budget the wait goes on: the upstream may just be slow.
    retryPaid_ = true;
    metrics_.silentConnections.add();
    calls.front()->abandon();
    calls.clear();
    return true;
}

} // namespace rosemarylink::gateway::internal
