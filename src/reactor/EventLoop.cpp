#include "rosemarylink/reactor/EventLoop.h"

#include "rosemarylink/base/Log.h"

#include <Poco/Exception.h>
#include <Poco/Thread.h>

#include <algorithm>

namespace rosemarylink::reactor {

namespace {

    // Bounds the time until a flag set by a signal handler is noticed.
    constexpr Milliseconds maximumWait { 100 };

    const Logger logger("loop");

} // namespace

EventLoop::TimerId EventLoop::after(Milliseconds delay, Task task)
{
    const TimerId id = ++lastTimer_;
    const Milliseconds due = clock_.monotonic() + delay;
    timers_.emplace(std::make_pair(due, id), std::move(task));
    dueTimes_.emplace(id, due);
    return id;
}

void EventLoop::cancel(TimerId id)
{
    const auto due = dueTimes_.find(id);
    if (due == dueTimes_.end())
        return;
    timers_.erase({ due->second, id });
    dueTimes_.erase(due);
}

void EventLoop::watch(const Poco::Net::Socket& socket, bool forWriting, const std::shared_ptr<SocketHandler>& handler)
{
    watchFor(Poco::Net::PollSet::POLL_READ | (forWriting ? Poco::Net::PollSet::POLL_WRITE : 0), socket, handler);
}

void EventLoop::watchWithoutReading(
    const Poco::Net::Socket& socket, bool forWriting, const std::shared_ptr<SocketHandler>& handler)
{
    watchFor(forWriting ? Poco::Net::PollSet::POLL_WRITE : 0, socket, handler);
}

void EventLoop::watchFor(int mode, const Poco::Net::Socket& socket, const std::shared_ptr<SocketHandler>& handler)
{
    mode |= Poco::Net::PollSet::POLL_ERROR;
    if (handlers_.count(socket) == 0)
        sockets_.add(socket, mode);
    else
        sockets_.update(socket, mode);
    handlers_.insert_or_assign(socket, handler);
}

void EventLoop::unwatch(const Poco::Net::Socket& socket)
{
    if (handlers_.erase(socket) == 0)
        return;
    try {
        sockets_.remove(socket);
    } catch (const Poco::Exception& problem) {
        logger.warning("Socket was not removed from the poll set", { { "reason", problem.displayText() } });
    }
}

Milliseconds EventLoop::nextWait() const
{
    if (timers_.empty())
        return maximumWait;
    const Milliseconds untilDue = timers_.begin()->first.first - clock_.monotonic();
    return std::clamp(untilDue, Milliseconds(0), maximumWait);
}

// Runs the task; an exception is logged so that other events are still handled.
void EventLoop::runTask(const Task& task)
{
    try {
        task();
    } catch (const std::exception& problem) {
        logger.error("Event handler threw an exception", { { "reason", problem.what() } });
    }
}

void EventLoop::runDueTimers()
{
    const Milliseconds now = clock_.monotonic();
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
        const Task task = std::move(timers_.begin()->second);
        dueTimes_.erase(timers_.begin()->first.second);
        timers_.erase(timers_.begin());
        runTask(task);
    }
}

void EventLoop::run(const Task& onIteration)
{
    while (!stopped_) {
        const Milliseconds wait = nextWait();
        Poco::Net::PollSet::SocketModeMap ready;
        if (handlers_.empty())
            Poco::Thread::sleep(static_cast<long>(wait.count()));
        else
            ready = sockets_.poll(Poco::Timespan(wait.count() * 1000));
        for (const auto& [socket, mode] : ready) {
            const auto position = handlers_.find(socket);
            if (position == handlers_.end())
                continue; // closed by an earlier handler of this iteration
            const std::shared_ptr<SocketHandler> handler = position->second.lock();
            if (!handler) {
                unwatch(socket);
                continue;
            }
            if (mode & Poco::Net::PollSet::POLL_WRITE)
                runTask([&handler] { handler->onWritable(); });
            if ((mode & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR)) && handlers_.count(socket))
                runTask([&handler] { handler->onReadable(); });
        }
        runDueTimers();
        onIteration();
    }
    stopped_ = false;
}

} // namespace rosemarylink::reactor
