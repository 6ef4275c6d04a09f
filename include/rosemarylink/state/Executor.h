#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rosemarylink::state {

// Runs blocking calls away from the thread that decides. Safe to use from several threads.
class Executor {
public:
    virtual ~Executor() = default;
    virtual void post(std::function<void()>) = 0;
};

// Runs each call at once on the caller's thread; for tests and tools.
class InlineExecutor final : public Executor {
public:
    void post(std::function<void()> call) override { call(); }
};

// Runs calls on a fixed number of threads, in the order posted. The destructor drops calls that have not begun and
// waits for the others.
class ThreadExecutor final : public Executor {
public:
    explicit ThreadExecutor(std::size_t threads);
    ~ThreadExecutor() override;
    ThreadExecutor(const ThreadExecutor&) = delete;
    ThreadExecutor& operator=(const ThreadExecutor&) = delete;

    void post(std::function<void()>) override;

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> calls_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace rosemarylink::state
