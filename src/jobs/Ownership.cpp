#include "rosemarylink/jobs/Ownership.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/jobs/Catalog.h"

#include <algorithm>

namespace rosemarylink::jobs {

namespace {

    // A shorter lease shortens the time without an owner after a failure; a longer one survives longer outages of the
    // store. Runs continue for 6 s without an owner.
    constexpr Milliseconds leaseTtl { 1800 };
    constexpr Milliseconds renewInterval { 500 }; // allows three attempts within the lease

    // The owner stops sending commands this long before its lease can expire, to allow for commands in flight.
    constexpr Milliseconds validityMargin { 300 };

    constexpr Milliseconds callTimeout { 700 };
    constexpr Milliseconds longestRenewal { 900 }; // the lease is still valid when it is renewed again after that
    constexpr Milliseconds watchWait { 3000 }; // bounds the delay if the connection goes silent
    constexpr Milliseconds retryDelay { 200 };

    // After a restart of everything, an owner of 350 workers exchanges about 10 Mbit/s with them and the store and
    // breaks down on a link of that size. A quarter of a core handles 48 workers with a margin.
    constexpr double sufficientCores = 0.25;
    constexpr double sufficientLinkMbps = 100;

    // Instances with sufficient capacity acquire a free record within a few round trips of 30 ms.
    constexpr Milliseconds lowCapacityDelay { 800 };

    // How long an instance leaves a free record to those that have been started since the last owner acquired it: their
    // watch event, read, lease and write across regions. In a rolling restart the others are stopped next.
    constexpr Milliseconds earlierStartDelay { 150 };

    // How long an instance that has given up its ownership leaves a free record to the others. It exceeds the other
    // delays together.
    constexpr Milliseconds givenUpDelay { 2000 };

    const Logger logger("owner");

} // namespace

Milliseconds acquisitionDelayFor(const InstanceCapacity& capacity)
{
    return capacity.cores >= sufficientCores && capacity.linkMbps >= sufficientLinkMbps ? Milliseconds(0)
                                                                                        : lowCapacityDelay;
}

Ownership::Ownership(RecordStore& store, Timers& timers, const Clock& clock, JobMetrics& metrics, std::string instance,
    Milliseconds acquisitionDelay)
    : store_(store)
    , timers_(timers)
    , clock_(clock)
    , metrics_(metrics)
    , instance_(std::move(instance))
    , acquisitionDelay_(acquisitionDelay)
{
}

void Ownership::start(Listener listener)
{
    listener_ = std::move(listener);
    checkRecord();
}

Precondition Ownership::condition() const { return { keys::ownership, Revision(token_.value()) }; }

void Ownership::checkRecord()
{
    if (resigning_ || held_)
        return;
    store_.read(keys::ownership, callTimeout, [this](const StoreResponse& response) {
        if (resigning_ || held_)
            return;
        const bool answered = response.outcome == StoreOutcome::NotFound || response.done();
        if (answered && startRevision_ == Revision(0))
            startRevision_ = response.revision;
        if (response.done() && !response.records.empty())
            lastOwner_ = response.records.front().revision;
        if (response.outcome == StoreOutcome::NotFound)
            acquireAfterDelay();
        else if (response.done())
            watchRecord(response.revision);
        else
            timers_.after(retryDelay, [this] { checkRecord(); });
    });
}

void Ownership::watchRecord(Revision after)
{
    unownedSince_.reset();
    store_.watch(keys::ownership, after, watchWait, [this](const StoreResponse& response) {
        // The watch may end for several reasons, so the current state is read in any case.
        timers_.after(response.done() ? Milliseconds(0) : retryDelay, [this] { checkRecord(); });
    });
}

void Ownership::acquireAfterDelay()
{
    if (!unownedSince_)
        unownedSince_ = clock_.monotonic();
    const Milliseconds delay = acquisitionDelay_ + (lastOwner_ > startRevision_ ? earlierStartDelay : Milliseconds(0))
        + (gaveUp_ ? givenUpDelay : Milliseconds(0));
    const Milliseconds remaining = delay - (clock_.monotonic() - *unownedSince_);
    if (remaining <= Milliseconds(0))
        acquire();
    else
        timers_.after(remaining, [this] { checkRecord(); });
}

void Ownership::acquire()
{
    if (acquiring_)
        return;
    acquiring_ = true;
    const Milliseconds grantedAt = clock_.monotonic();
    store_.grantLease(leaseTtl, callTimeout, [this, grantedAt](const StoreResponse& grant) {
        if (!grant.done()) {
            acquiring_ = false;
            timers_.after(retryDelay, [this] { checkRecord(); });
            return;
        }
        Batch batch;
        batch.preconditions = { { keys::ownership, Revision(0) } };
        const std::string value = instance_ + " " + randomHex128();
        batch.puts = { { keys::ownership, value, grant.lease } };
        const StoreLeaseId lease = grant.lease;
        const Milliseconds ttl = grant.leaseTtl;
        store_.commit(batch, callTimeout, [this, value, lease, grantedAt, ttl](const StoreResponse& response) {
            if (response.done())
                becomeOwner(response.revision, lease, grantedAt, ttl);
            else if (response.outcome == StoreOutcome::Unknown)
                resolveUnknownAcquisition(value, lease, grantedAt, ttl);
            else {
                acquiring_ = false;
                store_.endLease(lease, callTimeout, [](const StoreResponse&) {});
                timers_.after(retryDelay, [this] { checkRecord(); });
            }
        });
    });
}

// Resolves a write of the record that got no response by reading the record. If the write has not taken effect by now,
// the lease is ended so that it never will.
// A record of this instance with another value is that of an earlier attempt, which is bound to another lease.
void Ownership::resolveUnknownAcquisition(
    const std::string& value, StoreLeaseId lease, Milliseconds grantedAt, Milliseconds ttl)
{
    store_.read(keys::ownership, callTimeout, [this, value, lease, grantedAt, ttl](const StoreResponse& response) {
        if (response.done() && response.records.front().value == value) {
            becomeOwner(response.records.front().revision, lease, grantedAt, ttl);
            return;
        }
        acquiring_ = false;
        store_.endLease(lease, callTimeout, [](const StoreResponse&) {});
        timers_.after(retryDelay, [this] { checkRecord(); });
    });
}

void Ownership::becomeOwner(Revision revision, StoreLeaseId lease, Milliseconds grantedAt, Milliseconds ttl)
{
    acquiring_ = false;
    if (resigning_) {
        store_.endLease(lease, callTimeout, [](const StoreResponse&) {});
        return;
    }
    held_ = true;
    gaveUp_ = false;
    lease_ = lease;
    token_ = FencingToken(revision.value());
    validUntil_ = grantedAt + ttl - validityMargin;
    failedRenewalAt_.reset();
    logger.info(
        "Ownership gained", { { "token", token_ }, { "validForMs", (validUntil_ - clock_.monotonic()).count() } });
    const Duty::Options renewal { "renewal", { renewInterval, retryDelay } };
    renewal_ = std::make_shared<Duty>(renewal, timers_, clock_, metrics_);
    renewal_->start(renewal_, [this] { renew(); });
    listener_.gained(token_);
}

void Ownership::updateMetrics() const
{
    if (renewal_)
        renewal_->updateMetrics();
}

void Ownership::renew()
{
    const auto handle = [this, sentAt = clock_.monotonic()](const StoreResponse& response) {
        if (response.outcome == StoreOutcome::NotFound) {
            loseOwnership("the store lease has expired");
            return Duty::Outcome::Failed;
        }
        if (response.done()) {
            validUntil_ = std::max(validUntil_, sentAt + response.leaseTtl - validityMargin);
            return Duty::Outcome::Succeeded;
        }
        failedRenewalAt_ = sentAt;
        logger.warning("Store lease was not renewed; retrying",
            { { "token", token_ }, { "validForMs", (validUntil_ - clock_.monotonic()).count() } });
        return Duty::Outcome::Failed;
    };
    store_.keepLease(lease_, callTimeout, renewal_->await(longestRenewal, handle));
}

void Ownership::reportConflict() { loseOwnership("another instance is the owner"); }

void Ownership::giveUp(const std::string& reason)
{
    if (!held_)
        return;
    gaveUp_ = true;
    loseOwnership(reason);
    store_.endLease(lease_, callTimeout, [](const StoreResponse&) {});
}

void Ownership::loseOwnership(const std::string& reason)
{
    if (!held_)
        return;
    held_ = false;
    renewal_.reset();
    logger.warning("Ownership lost",
        { { "token", token_ }, { "reason", reason },
            { "invalidForMs", std::max(Milliseconds(0), clock_.monotonic() - validUntil_).count() } });
    listener_.lost(reason);
    timers_.after(retryDelay, [this] { checkRecord(); });
}

void Ownership::resign()
{
    resigning_ = true;
    if (!held_)
        return;
    held_ = false;
    renewal_.reset();
    logger.info("Ownership released", { { "token", token_ } });
    store_.endLease(lease_, callTimeout, [](const StoreResponse&) {});
}

} // namespace rosemarylink::jobs
