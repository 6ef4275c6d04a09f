#include "rosemarylink/jobs/Duty.h"

#include "rosemarylink/base/Log.h"

#include <exception>
#include <utility>

namespace rosemarylink::jobs {

namespace {

    const Logger logger("duty");

} // namespace

Duty::Duty(Options options, Timers& timers, const Clock& clock, JobMetrics& metrics)
    : options_(std::move(options))
    , timers_(timers)
    , clock_(clock)
    , metrics_(metrics)
{
}

Duty::~Duty()
{
    if (started())
        metrics_.setDutyAge(options_.name, Milliseconds(0));
}

void Duty::start(std::weak_ptr<const void> scope, Work work)
{
    if (started())
        return;
    scope_ = std::move(scope);
    work_ = std::move(work);
    succeededAt_ = clock_.monotonic();
    beginTurn();
}

Milliseconds Duty::sinceSuccess() const { return started() ? clock_.monotonic() - succeededAt_ : Milliseconds(0); }

void Duty::updateMetrics() const { metrics_.setDutyAge(options_.name, sinceSuccess()); }

void Duty::runAfter(Milliseconds delay, const std::function<void()>& task)
{
    timers_.after(delay, [scope = scope_, task] {
        if (const auto alive = scope.lock())
            task();
    });
}

void Duty::beginTurn()
{
    ++turn_;
    open_ = true;
    awaiting_ = false;
    try {
        work_();
    } catch (const std::exception& problem) {
        handleException(problem);
        return;
    }
    if (!awaiting_)
        endTurn(Outcome::Succeeded);
}

void Duty::endTurn(Outcome outcome)
{
    if (!std::exchange(open_, false))
        return;
    if (awaiting_)
        timers_.cancel(limitTimer_);
    const bool succeeded = outcome == Outcome::Succeeded;
    if (succeeded) {
        succeededAt_ = clock_.monotonic();
        lastError_.clear();
    }
    runAfter(succeeded ? options_.pace.interval : options_.pace.retryDelay, [this] { beginTurn(); });
}

void Duty::expectResponse(Milliseconds limit)
{
    awaiting_ = true;
    limitTimer_ = timers_.after(limit, [this, scope = scope_, turn = turn_, limit] {
        if (const auto alive = scope.lock(); alive && isOpen(turn))
            handleMissingResponse(limit);
    });
}

void Duty::handleResponse(const std::function<Outcome()>& handle)
{
    Outcome outcome = Outcome::Failed;
    try {
        outcome = handle();
    } catch (const std::exception& problem) {
        handleException(problem);
        return;
    }
    if (outcome == Outcome::Failed)
        lastError_ = "the call failed";
    endTurn(outcome);
}

void Duty::handleException(const std::exception& problem)
{
    lastError_ = problem.what();
    metrics_.countDutyRestart(options_.name, "exception");
    logger.error("Duty ended with an exception; it is started again",
        { { "duty", options_.name }, { "reason", lastError_ }, { "sinceSuccessMs", sinceSuccess().count() } });
    endTurn(Outcome::Failed);
}

void Duty::handleMissingResponse(Milliseconds limit)
{
    lastError_ = "no response";
    metrics_.countDutyRestart(options_.name, "no-response");
    logger.error("Duty got no response; it is started again",
        { { "duty", options_.name }, { "limitMs", limit.count() }, { "sinceSuccessMs", sinceSuccess().count() } });
    endTurn(Outcome::Failed);
}

} // namespace rosemarylink::jobs
