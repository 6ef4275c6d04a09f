#include "rosemarylink/jobs/PoolOwner.h"

#include "OwnerSession.h"

#include <utility>

namespace rosemarylink::jobs {

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
