#pragma once

#include "rosemarylink/base/Clock.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace rosemarylink::reactor {

// Receives the readiness of one socket. It is called on the loop's thread only.
class SocketHandler {
public:
    virtual ~SocketHandler() = default;
    virtual void onReadable() = 0;
    virtual void onWritable() = 0;
};

// Runs socket handlers and timers on the thread that calls run(). Nothing here is safe to use from another thread.
class EventLoop {
public:
    using Task = std::function<void()>;
    using TimerId = std::uint64_t;

    explicit EventLoop(const Clock& clock)
        : clock_(clock)
    {
    }

    const Clock& clock() const { return clock_; }

    // Runs the task once, not before the delay has passed.
    TimerId after(Milliseconds delay, Task);

    // Does nothing for a timer that has run.
    void cancel(TimerId);

    // Starts or changes the watch of a socket; the handler is dropped when nobody else holds it.
    void watch(const Poco::Net::Socket&, bool forWriting, const std::shared_ptr<SocketHandler>&);

    // Must be called before the socket is closed.
    void unwatch(const Poco::Net::Socket&);

    // Runs until stop(). onTurn is called after each round of events, at least every 100 ms.
    void run(const Task& onTurn);
    void stop() { stopped_ = true; }

private:
    static void runGuarded(const Task&);
    void runDueTimers();
    Milliseconds nextWait() const;

    const Clock& clock_;
    Poco::Net::PollSet sockets_;
    std::map<Poco::Net::Socket, std::weak_ptr<SocketHandler>> handlers_;
    std::map<std::pair<Milliseconds, TimerId>, Task> timers_;
    std::map<TimerId, Milliseconds> dueTimes_;
    TimerId lastTimer_ = 0;
    bool stopped_ = false;
};

} // namespace rosemarylink::reactor
