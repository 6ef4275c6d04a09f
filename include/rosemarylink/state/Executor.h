#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rosemarylink::state {

// Runs blocking calls outside the controller's thread. Thread-safe.
class Executor {
public:
    virtual ~Executor() = default;
    virtual void post(std::function<void()>) = 0;
};

// Runs each call synchronously on the caller's thread; for tests and tools.
class InlineExecutor final : public Executor {
public:
    void post(std::function<void()> call) override { call(); }
};

// Runs calls on a fixed number of threads and starts them in the order posted. The destructor discards calls that have
// not started and waits for those that have.
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
