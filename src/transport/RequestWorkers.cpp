#include "RequestWorkers.h"

#include "rosemarylink/base/Log.h"

#include <system_error>
#include <utility>

namespace rosemarylink::transport {

namespace {

    const Logger logger("http");

} // namespace

RequestWorkers::RequestWorkers(int maximumThreads, std::size_t maximumQueued)
    : maximumThreads_(static_cast<std::size_t>(maximumThreads))
    , maximumQueued_(maximumQueued)
{
}

RequestWorkers::~RequestWorkers() { stop(); }

bool RequestWorkers::run(Task task)
{
    const std::lock_guard lock(mutex_);
    if (stopped_)
        return false;
    if (waiting_ <= queue_.size() && threads_.size() < maximumThreads_) {
        try {
            threads_.emplace_back([this] { work(); });
        } catch (const std::system_error& problem) {
            logger.warning("No thread was started for a request", { { "reason", problem.what() } });
        }
    } else if (waiting_ <= queue_.size() && queue_.size() - waiting_ >= maximumQueued_) {
        return false;
    }
    queue_.push_back(std::move(task));
    changed_.notify_one();
    return true;
}

void RequestWorkers::work()
{
    std::unique_lock lock(mutex_);
    while (true) {
        ++waiting_;
        changed_.wait(lock, [this] { return stopped_ || !queue_.empty(); });
        --waiting_;
        if (stopped_)
            return;
        const Task task = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

void RequestWorkers::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        queue_.clear();
        changed_.notify_all();
    }
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
}

} // namespace rosemarylink::transport
