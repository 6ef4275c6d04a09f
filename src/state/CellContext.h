#pragma once

#include "rosemarylink/base/Log.h"
#include "rosemarylink/state/CellController.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

namespace rosemarylink::state::internal {

// Results of posted calls, queued until the next step processes them. Thread-safe.
class CompletionQueue {
public:
    void push(std::function<void()> completion)
    {
        const std::lock_guard lock(mutex_);
        completions_.push_back(std::move(completion));
    }
    std::vector<std::function<void()>> drain()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(completions_, {});
    }

private:
    std::mutex mutex_;
    std::vector<std::function<void()>> completions_;
};

// State shared by the parts of one cell controller. Accessed under the controller's lock only; posted work runs without
// the lock and must not access it.
struct CellContext {
    CellContext(CellSettings cellSettings, CellDependencies cellDependencies)
        : settings(std::move(cellSettings))
        , dependencies(std::move(cellDependencies))
        , random(settings.seed)
    {
    }

    CellSettings settings;
    CellDependencies dependencies;
    std::shared_ptr<CompletionQueue> completions = std::make_shared<CompletionQueue>();
    std::mt19937_64 random;
    std::uint64_t epoch = 0; // incremented when the cell is lost; results of calls from earlier epochs are discarded
    FencingToken token;
    Logger log { "cells" };

    const CellTimings& timings() const { return settings.timings; }
    const CellId& cell() const { return settings.scope.cell; }
    Milliseconds now() const { return dependencies.clock.monotonic(); }

    // A random delay between half of the given one and all of it.
    Milliseconds jittered(Milliseconds delay)
    {
        std::uniform_int_distribution<std::int64_t> distribution(
            delay.count() / 2, std::max<Milliseconds::rep>(1, delay.count()));
        return Milliseconds(distribution(random));
    }

    // Posts work() and passes its result to apply() in a later step, unless the cell has been lost in between.
    template <typename Work, typename Apply> void call(Executor& executor, Work work, Apply apply)
    {
        callInAnyEpoch(
            executor, std::move(work), [this, issued = epoch, apply = std::move(apply)](auto result) mutable {
                if (issued == epoch)
                    apply(std::move(result));
            });
    }

    // Like call(), but also passes on the result if the cell has been lost in between.
    template <typename Work, typename Apply> void callInAnyEpoch(Executor& executor, Work work, Apply apply)
    {
        executor.post([queue = completions, work = std::move(work), apply = std::move(apply)]() mutable {
            auto result = work();
            queue->push([apply = std::move(apply), result = std::move(result)]() mutable { apply(std::move(result)); });
        });
    }
};

// Delays between retries of a failing call: they double from 200 ms up to a maximum. The jitter keeps instances whose
// calls failed together from retrying together.
class RetryDelay {
public:
    void succeeded() { failures_ = 0; }
    Milliseconds next(CellContext& context)
    {
        const int doublings = std::min(failures_++, 10);
        return context.jittered(std::min(Milliseconds(200LL << doublings), context.timings().storeRetryMaxDelay));
    }
    bool failing() const { return failures_ > 0; }

private:
    int failures_ = 0;
};

} // namespace rosemarylink::state::internal
