#include "rosemarylink/jobs/PoolOwner.h"

#include "OwnerSession.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs {

std::size_t jobMemoryFor(std::size_t memoryMb)
{
    constexpr std::size_t shareOfMemory = 4;
    return memoryMb == 0 ? defaultJobMemory : std::min(defaultJobMemory, (memoryMb << 20) / shareOfMemory);
}

int startCommandsFor(std::size_t fileDescriptors)
{
    constexpr std::size_t shareOfDescriptors = 4;
    return fileDescriptors == 0
        ? defaultStartCommands
        : std::min(defaultStartCommands, static_cast<int>(fileDescriptors / shareOfDescriptors));
}

PoolOwner::PoolOwner(RecordStore& store, WorkerPort& workers, const Catalog& catalog, const ConfigView& config,
    Ownership& ownership, Timers& timers, const Clock& clock, JobMetrics& metrics, const PoolLimits& limits)
    : store_(store)
    , workers_(workers)
    , catalog_(catalog)
    , config_(config)
    , ownership_(ownership)
    , timers_(timers)
    , clock_(clock)
    , metrics_(metrics)
    , limits_(limits)
{
}

PoolOwner::~PoolOwner() = default;

void PoolOwner::begin(FencingToken token)
{
    metrics_.ownerships.add();
    session_ = std::make_shared<internal::OwnerSession>(*this, token);
    session_->start();
}

void PoolOwner::end()
{
    const auto session = std::exchange(session_, nullptr);
    if (!session)
        return;
    // Nothing can be stored any more. A process that shuts down would otherwise wait for this flush, not resign and
    // acquire the ownership again.
    for (const auto& done : session->takeFlushWaiters())
        done();
}

void PoolOwner::flush(const std::function<void()>& done)
{
    if (session_)
        session_->flush(done);
    else
        done();
}

} // namespace rosemarylink::jobs
