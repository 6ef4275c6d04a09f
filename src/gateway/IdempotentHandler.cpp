#include "IdempotentHandler.h"

#include "RequestMetrics.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

namespace rosemarylink::gateway::internal {

namespace {

    // How often the caller's connection is checked while the handler waits for a response.
    constexpr Milliseconds cancellationCheckInterval { 20 };
    // Also bounds the attempts that fail before anything was sent, which cost the upstreams nothing and need no budget.
    constexpr int maximumAttempts = 6;
    constexpr Milliseconds initialBackOff { 10 };
    constexpr Milliseconds maximumBackOff { 200 };

    Milliseconds jitter(Milliseconds limit)
    {
        thread_local std::mt19937_64 random { std::random_device {}() };
        return Milliseconds(std::uniform_int_distribution<std::int64_t>(0, limit.count())(random));
    }

} // namespace

IdempotentHandler::IdempotentHandler(const GatewayRequest& request, ServicePool& pool, RetryBudget& budget,
    const RetryOptions& options, const Clock& clock, RequestMetrics& metrics)
    : request_(request)
    , pool_(pool)
    , budget_(budget)
    , options_(options)
    , clock_(clock)
    , metrics_(metrics)
    , slotRequest_(makeSlotRequest(request))
{
}

Result<UpstreamResponse> IdempotentHandler::handle()
{
    budget_.deposit();
    for (int attempt = 1;; ++attempt) {
        auto response = runOnce();
        if (response)
            return response;
        const Error error = withOverallVerdict(response.error());
        if (!mayRetry(error, attempt))
            return error;
        backOff(attempt);
    }
}

Error IdempotentHandler::withOverallVerdict(Error error)
{
    if (error.verdict != Verdict::NotRun)
        verdict_ = Verdict::MayHaveRun;
    error.verdict = verdict_;
    return error;
}

bool IdempotentHandler::mayRetry(const Error& error, int attempt)
{
    // A refused admission carries a retry delay for the caller; only upstream failures are retried here.
    if (error.code != ErrorCode::Unavailable || error.retryAfter || attempt >= maximumAttempts)
        return false;
    if (request_.cancelled && request_.cancelled())
        return false;
    if (static_cast<double>(remaining().count()) < pool_.meanDuration())
        return false;
    if (!sent_ || std::exchange(retryPrepaid_, false))
        return true;
    return budget_.tryWithdraw();
}

void IdempotentHandler::backOff(int attempt) const
{
    const Milliseconds limit = std::min(maximumBackOff, initialBackOff * (1 << (attempt - 1)));
    std::this_thread::sleep_for(std::min(jitter(limit), std::max(Milliseconds(0), remaining())));
}

Result<UpstreamResponse> IdempotentHandler::runOnce()
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
    return awaitResponse(calls);
}

Result<UpstreamResponse> IdempotentHandler::awaitResponse(Calls& calls)
{
    Error lastError = unavailable("no upstream responded", Verdict::MayHaveRun);
    while (!calls.empty()) {
        if (UpstreamCall* ready = waitUntilReadable(calls, std::min(cancellationCheckInterval, remaining()))) {
            auto response = ready->receive(std::max(Milliseconds(1), remaining()), options_.progressTimeout);
            // The connections of the other copies are closed with their calls, so their late responses are discarded.
            if (response)
                return response;
            lastError = withOverallVerdict(response.error());
            calls.erase(
                std::find_if(calls.begin(), calls.end(), [ready](const auto& call) { return call.get() == ready; }));
            continue;
        }
        if (remaining() <= Milliseconds(0)) {
            for (const auto& call : calls)
                call->expire();
            return Error { ErrorCode::DeadlineExceeded, "no response before the deadline", Verdict::MayHaveRun,
                std::nullopt };
        }
        if (request_.cancelled && request_.cancelled()) {
            metrics_.cancellations.add();
            return Error { ErrorCode::DeadlineExceeded, "the caller disconnected", Verdict::MayHaveRun, std::nullopt };
        }
        sendHedge(calls);
        if (abandonSilentCall(calls))
            return unavailable("the upstream connection made no progress and was closed", Verdict::MayHaveRun);
    }
    return lastError;
}

void IdempotentHandler::sendHedge(Calls& calls)
{
    if (!request_.urgent || hedged_ || calls.size() != 1)
        return;
    const double delay = std::max(static_cast<double>(options_.hedgeDelay.count()), pool_.percentile95());
    if (static_cast<double>(calls.front()->elapsed().count()) < delay || !budget_.tryWithdraw())
        return;
    hedged_ = true;
    if (sendHedgeTo(pool_.tryAcquire(slotRequest_), calls))
        metrics_.hedges.add();
    else
        budget_.refund();
}

bool IdempotentHandler::sendHedgeTo(const std::optional<Slot>& slot, Calls& calls)
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

bool IdempotentHandler::abandonSilentCall(Calls& calls)
{
    if (calls.size() != 1 || calls.front()->elapsed() < options_.progressTimeout || retryPrepaid_
        || !budget_.tryWithdraw())
        return false;
    // Without budget the call is kept, since the upstream may just be slow.
    retryPrepaid_ = true;
    metrics_.silentConnections.add();
    calls.front()->abandon();
    calls.clear();
    return true;
}

} // namespace rosemarylink::gateway::internal
