#include "rosemarylink/state/Executor.h"

#include <utility>

namespace rosemarylink::state {

ThreadExecutor::ThreadExecutor(std::size_t threads)
{
    for (std::size_t index = 0; index < threads; ++index)
        threads_.emplace_back([this] { run(); });
}

ThreadExecutor::~ThreadExecutor()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        calls_.clear();
    }
    changed_.notify_all();
    for (std::thread& thread : threads_)
        thread.join();
}

void ThreadExecutor::post(std::function<void()> call)
{
    {
        const std::lock_guard lock(mutex_);
        calls_.push_back(std::move(call));
    }
    changed_.notify_one();
}

void ThreadExecutor::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return stopping_ || !calls_.empty(); });
        if (stopping_)
            return;
        const std::function<void()> call = std::move(calls_.front());
        calls_.pop_front();
        lock.unlock();
        call();
        lock.lock();
    }
}

} // namespace rosemarylink::state
