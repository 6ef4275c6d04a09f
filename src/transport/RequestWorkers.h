#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rosemarylink::transport {

// Threads that run requests' handlers, which may block. A thread is started when a request finds none that waits.
// Thread-safe.
class RequestWorkers {
public:
    using Task = std::function<void()>;

    RequestWorkers(int maximumThreads, std::size_t maximumQueued);
    ~RequestWorkers();
    RequestWorkers(const RequestWorkers&) = delete;
    RequestWorkers& operator=(const RequestWorkers&) = delete;

    // Runs the task on a thread, which it must not leave by an exception. Returns false, without running it, if all
    // threads are busy and the queue is full, or after stop().
    bool run(Task);

    // Drops the queued tasks and waits for those that run.
    void stop();

private:
    void work();

    std::size_t maximumThreads_;
    std::size_t maximumQueued_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Task> queue_;
    std::vector<std::thread> threads_;
    std::size_t waiting_ = 0; // threads without a task
    bool stopped_ = false;
};

} // namespace rosemarylink::transport
