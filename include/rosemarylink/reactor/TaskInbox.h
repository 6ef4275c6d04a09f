#pragma once

#include "rosemarylink/reactor/EventLoop.h"

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <mutex>
#include <vector>

namespace rosemarylink::reactor {

// Runs tasks of other threads on an event loop's thread, in the order in which they were posted. Must be created and
// destroyed while the loop does not run, or on its thread. Tasks that have not run when it is destroyed are dropped.
class TaskInbox {
public:
    // Throws Poco::Exception if the system refuses the pair of sockets that wakes the loop.
    explicit TaskInbox(EventLoop&);
    ~TaskInbox();
    TaskInbox(const TaskInbox&) = delete;
    TaskInbox& operator=(const TaskInbox&) = delete;

    // May be called from any thread. Does not block.
    void post(EventLoop::Task);

private:
    class Receiver;

    EventLoop& loop_;
    Poco::Net::StreamSocket sender_;
    std::shared_ptr<Receiver> receiver_;
    std::mutex mutex_;
    std::vector<EventLoop::Task> tasks_;
};

} // namespace rosemarylink::reactor
