#include "rosemarylink/jobs/PoolOwner.h"

#include "Tenure.h"

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
    tenure_ = std::make_shared<internal::Tenure>(*this, token);
    tenure_->start();
}

void PoolOwner::end() { tenure_.reset(); }

void PoolOwner::flush(const std::function<void()>& done)
{
    if (tenure_)
        tenure_->flush(done);
    else
        done();
}

} // namespace rosemarylink::jobs
