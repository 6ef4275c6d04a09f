#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/jobs/JobMetrics.h"
#include "rosemarylink/jobs/Timers.h"

#include <functional>
#include <memory>
#include <string>

namespace rosemarylink::jobs {

// A duty that an owner repeats, such as listing the workers. It runs in turns, one at a time. The next turn starts
// whichever way the last one ended, so that no single fault ends the duty:
//
//   it succeeded                                          after Pace::interval
//   it failed                                             after Pace::retryDelay
//   the work or the response handler threw an exception   after Pace::retryDelay, logged and counted as a restart
//   no response came within the limit of the call         after Pace::retryDelay, logged and counted as a restart
//
// A turn consists of the work. If the work makes an asynchronous call, it passes on the handler that await() returns,
// and the turn ends with the response instead. Only the first response to a turn that has not ended is handled.
//
//     Duty list({ "worker-list", { interval, retryDelay } }, timers, clock, metrics);
//     list.start(session, [&] {
//         store.list(prefix, timeout, list.await(limit, [&](const StoreResponse& response) {
//             handle(response);
//             return response.done() ? Duty::Outcome::Succeeded : Duty::Outcome::Failed;
//         }));
//     });
//
// Must be used on the event loop's thread.
class Duty {
public:
    enum class Outcome { Succeeded, Failed };

    struct Pace {
        Milliseconds interval { 0 }; // from the end of a turn that succeeded to the next turn
        Milliseconds retryDelay { 0 }; // from the end of any other turn to the next
    };

    struct Options {
        std::string name; // in log lines and metrics; from a small fixed set
        Pace pace;
    };

    using Work = std::function<void()>;

    Duty(Options, Timers&, const Clock&, JobMetrics&);

    // Sets the metrics of the duty back.
    ~Duty();
    Duty(const Duty&) = delete;
    Duty& operator=(const Duty&) = delete;

    // Starts the first turn before it returns. Nothing runs once the scope, which must include the duty, has ended; it
    // is kept alive while the work or a response handler runs. Has no effect on a duty that has been started.
    void start(std::weak_ptr<const void> scope, Work);

    bool started() const { return work_ != nullptr; }

    // Returns the response handler for the call that the work makes in this turn. `handle` takes the response and
    // returns the outcome of the turn. The limit must exceed the timeout of the call, whose handler is expected to be
    // called in any case.
    template <typename Handle> auto await(Milliseconds limit, Handle handle)
    {
        expectResponse(limit);
        return [this, scope = scope_, turn = turn_, handle](const auto& response) {
            if (const auto alive = scope.lock(); alive && isOpen(turn))
                handleResponse([&handle, &response] { return handle(response); });
        };
    }

    // Time since a turn last succeeded, or since the start if none has; 0 before the start.
    Milliseconds sinceSuccess() const;

    // Why the last turn that did not succeed ended, if none has succeeded since; otherwise empty.
    const std::string& lastError() const { return lastError_; }

    // Sets the metric for the time since the last success.
    void updateMetrics() const;

private:
    bool isOpen(std::uint64_t turn) const { return open_ && turn == turn_; }
    void beginTurn();
    void endTurn(Outcome);
    void expectResponse(Milliseconds limit);
    void handleResponse(const std::function<Outcome()>& handle);
    void handleException(const std::exception&);
    void handleMissingResponse(Milliseconds limit);
    void runAfter(Milliseconds delay, const std::function<void()>& task);

    Options options_;
    Timers& timers_;
    const Clock& clock_;
    JobMetrics& metrics_;
    std::weak_ptr<const void> scope_;
    Work work_;
    std::uint64_t turn_ = 0;
    bool open_ = false; // the turn has not ended
    bool awaiting_ = false; // the turn ends with a response
    Timers::Id limitTimer_ = 0;
    Milliseconds succeededAt_ { 0 };
    std::string lastError_;
};

} // namespace rosemarylink::jobs
