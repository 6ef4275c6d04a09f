#include "rosemarylink/jobs/Ownership.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/jobs/Catalog.h"

namespace rosemarylink::jobs {

namespace {

    // A shorter lease shortens the time without an owner after a failure; a longer one bridges a longer outage of the
    // store. Work on the workers survives 6 s without an owner.
    constexpr Milliseconds leaseTtl { 1800 };
    constexpr Milliseconds renewInterval { 500 }; // three tries within the lease

    // The owner stops giving orders this long before its lease can end, for an order on its way.
    constexpr Milliseconds validityMargin { 300 };

    constexpr Milliseconds callTimeout { 700 };
    constexpr Milliseconds watchWait { 3000 }; // bounds the delay when the connection falls silent
    constexpr Milliseconds retryDelay { 200 };

    // An owner of 350 workers exchanges some 10 Mbit/s with them and the store when all is started anew, and collapses
    // on a link of that size. A quarter of a core carries 48 workers with room to spare.
    constexpr double ampleCores = 0.25;
    constexpr double ampleLinkMbps = 100;

    // Instances with ample capacity take the record within some round trips of 30 ms once it is free.
    constexpr Milliseconds deference { 800 };

    const Logger logger("owner");

} // namespace

Milliseconds deferenceOf(const InstanceCapacity& capacity)
{
    return capacity.cores >= ampleCores && capacity.linkMbps >= ampleLinkMbps ? Milliseconds(0) : deference;
}

Ownership::Ownership(
    RecordStore& store, Timers& timers, const Clock& clock, std::string instance, Milliseconds deference)
    : store_(store)
    , timers_(timers)
    , clock_(clock)
    , instance_(std::move(instance))
    , nonce_(instance_ + " " + randomHex128())
    , deference_(deference)
{
}

void Ownership::start(Listener listener)
{
    listener_ = std::move(listener);
    look();
}

Precondition Ownership::condition() const { return { keys::ownership, Revision(token_.value()) }; }

void Ownership::look()
{
    if (leaving_ || held_)
        return;
    store_.read(keys::ownership, callTimeout, [this](const StoreAnswer& answer) {
        if (leaving_ || held_)
            return;
        if (answer.outcome == StoreOutcome::NotFound)
            contendInTurn();
        else if (answer.done())
            follow(answer.revision);
        else
            timers_.after(retryDelay, [this] { look(); });
    });
}

void Ownership::follow(Revision after)
{
    freeSince_.reset();
    store_.watch(keys::ownership, after, watchWait, [this](const StoreAnswer& answer) {
        // Whatever ended the wait, a read tells what holds now.
        timers_.after(answer.done() ? Milliseconds(0) : retryDelay, [this] { look(); });
    });
}

void Ownership::contendInTurn()
{
    if (!freeSince_)
        freeSince_ = clock_.monotonic();
    const Milliseconds left = deference_ - (clock_.monotonic() - *freeSince_);
    if (left <= Milliseconds(0))
        contend();
    else
        timers_.after(left, [this] { look(); });
}

void Ownership::contend()
{
    if (contending_)
        return;
    contending_ = true;
    const Milliseconds grantedAt = clock_.monotonic();
    store_.grantLease(leaseTtl, callTimeout, [this, grantedAt](const StoreAnswer& grant) {
        if (!grant.done()) {
            contending_ = false;
            timers_.after(retryDelay, [this] { look(); });
            return;
        }
        Batch batch;
        batch.preconditions = { { keys::ownership, Revision(0) } };
        batch.puts = { { keys::ownership, nonce_, grant.lease } };
        const StoreLeaseId lease = grant.lease;
        const Milliseconds ttl = grant.leaseTtl;
        store_.commit(batch, callTimeout, [this, lease, grantedAt, ttl](const StoreAnswer& answer) {
            if (answer.done())
                gain(answer.revision, lease, grantedAt, ttl);
            else if (answer.outcome == StoreOutcome::Unknown)
                settle(lease, grantedAt, ttl);
            else {
                contending_ = false;
                store_.endLease(lease, callTimeout, [](const StoreAnswer&) {});
                timers_.after(retryDelay, [this] { look(); });
            }
        });
    });
}

// The write of the record had no answer: the record tells whether it took effect. If it has not by now, the lease is
// ended so that it never will.
void Ownership::settle(StoreLeaseId lease, Milliseconds grantedAt, Milliseconds ttl)
{
    store_.read(keys::ownership, callTimeout, [this, lease, grantedAt, ttl](const StoreAnswer& answer) {
        if (answer.done() && answer.records.front().value == nonce_) {
            gain(answer.records.front().revision, lease, grantedAt, ttl);
            return;
        }
        contending_ = false;
        store_.endLease(lease, callTimeout, [](const StoreAnswer&) {});
        timers_.after(retryDelay, [this] { look(); });
    });
}

void Ownership::gain(Revision revision, StoreLeaseId lease, Milliseconds grantedAt, Milliseconds ttl)
{
    contending_ = false;
    if (leaving_) {
        store_.endLease(lease, callTimeout, [](const StoreAnswer&) {});
        return;
    }
    held_ = true;
    ++epoch_;
    lease_ = lease;
    token_ = FencingToken(revision.value());
    validUntil_ = grantedAt + ttl - validityMargin;
    logger.info(
        "Ownership gained", { { "token", token_ }, { "validForMs", (validUntil_ - clock_.monotonic()).count() } });
    listener_.gained(token_);
    renew();
}

void Ownership::renew()
{
    if (!held_)
        return;
    const Milliseconds sentAt = clock_.monotonic();
    const std::uint64_t epoch = epoch_;
    store_.keepLease(lease_, callTimeout, [this, sentAt, epoch](const StoreAnswer& answer) {
        if (!held_ || epoch != epoch_)
            return;
        if (answer.outcome == StoreOutcome::NotFound) {
            lose("the lease has ended");
            return;
        }
        if (answer.done())
            validUntil_ = std::max(validUntil_, sentAt + answer.leaseTtl - validityMargin);
        else
            logger.warning("Lease was not renewed",
                { { "token", token_ }, { "validForMs", (validUntil_ - clock_.monotonic()).count() } });
        timers_.after(answer.done() ? renewInterval : retryDelay, [this, epoch] {
            if (epoch == epoch_)
                renew();
        });
    });
}

void Ownership::reportConflict() { lose("another instance holds the record"); }

void Ownership::lose(const std::string& reason)
{
    if (!held_)
        return;
    held_ = false;
    ++epoch_;
    logger.warning("Ownership lost", { { "token", token_ }, { "reason", reason } });
    listener_.lost(reason);
    timers_.after(retryDelay, [this] { look(); });
}

void Ownership::leave()
{
    leaving_ = true;
    if (!held_)
        return;
    held_ = false;
    ++epoch_;
    logger.info("Ownership given up", { { "token", token_ } });
    store_.endLease(lease_, callTimeout, [](const StoreAnswer&) {});
}

} // namespace rosemarylink::jobs
