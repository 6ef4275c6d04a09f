#include "rosemarylink/state/DutyLease.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/generated/Config.h"

#include <random>

namespace rosemarylink::state {

namespace {

    const Logger logger("duties");

    // Shortens the interval by up to a quarter, so that instances do not retry simultaneously after an outage.
    Milliseconds jittered(Milliseconds interval)
    {
        thread_local std::minstd_rand random { std::random_device {}() };
        std::uniform_int_distribution<std::int64_t> reduction(0, interval.count() / 4);
        return interval - Milliseconds(reduction(random));
    }

    std::string encode(const config::DutyRecord& record)
    {
        std::string bytes;
        nlohmann::json::to_cbor(toJson(record), bytes);
        return bytes;
    }

    bool hasOperation(const std::optional<StoredValue>& value, const OperationId& operation)
    {
        if (!value)
            return false;
        const auto json = nlohmann::json::from_cbor(value->bytes, true, false);
        return json.is_object() && json.value("operation", "") == operation.value();
    }

} // namespace

DutyLease::DutyLease(KeyValueStore& store, const Clock& clock, const InstanceId& self, const std::string& duty,
    const DutyOptions& options)
    : store_(store)
    , clock_(clock)
    , self_(self)
    , duty_(duty)
    , options_(options)
{
}

bool DutyLease::held() const
{
    const std::lock_guard lock(mutex_);
    return lease_ && clock_.monotonic() < heldUntil_;
}

void DutyLease::tick()
{
    const Milliseconds now = clock_.monotonic();
    std::optional<LeaseId> lease;
    {
        const std::lock_guard lock(mutex_);
        if (now < nextAction_)
            return;
        lease = lease_;
    }
    if (lease)
        renew(*lease, now);
    else
        tryAcquire(now);
}

void DutyLease::renew(const LeaseId& lease, Milliseconds now)
{
    const Status renewed = store_.renewLease(lease);
    if (renewed) {
        setHeld(lease, now);
        return;
    }
    // The lease may still be valid when the store did not reply, so it is renewed again soon. held() becomes false once
    // the TTL has passed.
    if (renewed.error().code == ErrorCode::NotFound) {
        setLost(now);
        return;
    }
    const std::lock_guard lock(mutex_);
    nextAction_ = now + jittered(options_.renewInterval / 2);
}

void DutyLease::tryAcquire(Milliseconds now)
{
    {
        const std::lock_guard lock(mutex_);
        nextAction_ = now + jittered(options_.retryInterval);
    }
    const auto current = store_.read("duties/" + duty_);
    if (!current || current.value())
        return;
    const Milliseconds since = clock_.monotonic();
    const auto lease = store_.grantLease(options_.ttl);
    if (!lease)
        return;
    if (writeHolder(lease.value())) {
        setHeld(lease.value(), since);
        logger.info("duty taken", { { "duty", duty_ }, { "instance", self_ } });
    } else if (const Status revoked = store_.revokeLease(lease.value()); !revoked) {
        logger.warning("unused lease not revoked; it ends at its TTL", { { "duty", duty_ } });
    }
}

bool DutyLease::writeHolder(const LeaseId& lease)
{
    config::DutyRecord record;
    record.schemaVersion = 1;
    record.holder = self_;
    record.operation = makeRandomId<OperationId>();
    const std::string key = "duties/" + duty_;
    const auto written = store_.compareAndSwap(key, Revision(0), encode(record), lease);
    if (written)
        return true;
    if (written.error().verdict != Verdict::MayHaveRun)
        return false;
    const auto stored = store_.read(key);
    return stored && hasOperation(stored.value(), record.operation);
}

void DutyLease::setHeld(const LeaseId& lease, Milliseconds since)
{
    const std::lock_guard lock(mutex_);
    lease_ = lease;
    heldUntil_ = since + options_.ttl;
    nextAction_ = since + options_.renewInterval;
}

void DutyLease::setLost(Milliseconds now)
{
    logger.info("duty lost", { { "duty", duty_ }, { "instance", self_ } });
    const std::lock_guard lock(mutex_);
    lease_.reset();
    nextAction_ = now + jittered(options_.retryInterval);
}

void DutyLease::release()
{
    std::optional<LeaseId> lease;
    {
        const std::lock_guard lock(mutex_);
        lease.swap(lease_);
        nextAction_ = clock_.monotonic() + options_.retryInterval;
    }
    if (!lease)
        return;
    if (const Status revoked = store_.revokeLease(*lease); !revoked)
        logger.warning("duty not released; its lease ends at its TTL", { { "duty", duty_ } });
}

} // namespace rosemarylink::state
