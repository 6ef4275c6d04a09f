#include "ServicePool.h"

#include <algorithm>

namespace rosemarylink::gateway::internal {

namespace {

    // How often a queued request checks whether its caller is still connected.
    constexpr Milliseconds cancellationCheckInterval { 20 };
    // Minimum interval between searches for requests that can no longer finish in time; each visits the whole queue.
    constexpr Milliseconds infeasibilityCheckInterval { 5 };
    constexpr double initialDuration = 5; // ms, until the first response
    constexpr Milliseconds retryAfterWithoutUpstream { 1000 };

    Error callerDisconnected()
    {
        return makeError(ErrorCode::DeadlineExceeded, "the caller disconnected while the request was queued");
    }

} // namespace

struct ServicePool::Waiter {
    SlotRequest request;
    AdmissionTicket ticket = 0;
    std::condition_variable changed;
    std::optional<Slot> slot;
    std::optional<Error> refusal;

    bool isSettled() const { return slot || refusal; }
};

ServicePool::ServicePool(ServiceId service, const ServicePoolOptions& options, AccountUsage& usage,
    QueueLimiter& queueLimiter, const Clock& clock)
    : service_(std::move(service))
    , options_(options)
    , usage_(usage)
    , queueLimiter_(queueLimiter)
    , clock_(clock)
    , selector_(options.routing)
    , queue_(usage)
    , durations_(initialDuration)
    , random_(std::random_device {}())
{
}

ServicePool::~ServicePool() = default;

void ServicePool::setUpstreams(const std::vector<model::UpstreamSpec>& upstreams, std::size_t gateways)
{
    const std::lock_guard lock(mutex_);
    std::map<UpstreamId, std::shared_ptr<ConnectionPool>> connections;
    std::vector<model::UpstreamSpec> valid;
    for (const model::UpstreamSpec& spec : upstreams) {
        auto address = parseUpstreamAddress(spec.address);
        if (!address)
            continue;
        valid.push_back(spec);
        valid.back().slots = std::min(spec.slots, spec.connections);
        const model::UpstreamSpec* known = selector_.find(spec.id);
        const auto position = connections_.find(spec.id);
        if (known && known->address == spec.address && position != connections_.end()) {
            connections[spec.id] = position->second;
            continue;
        }
        const auto idle = std::max<std::size_t>(1, static_cast<std::size_t>(spec.connections) / gateways);
        connections[spec.id]
            = std::make_shared<ConnectionPool>(std::move(address).value(), options_.connections, idle, clock_);
    }
    connections_ = std::move(connections);
    const Milliseconds now = clock_.monotonic();
    selector_.setUpstreams(valid, gateways, now);
    dispatch(now);
}

Result<Slot> ServicePool::acquire(const SlotRequest& request, const std::function<bool()>& cancelled)
{
    Waiter waiter;
    waiter.request = request;
    std::unique_lock lock(mutex_);
    BOOST_OUTCOME_TRYV(enqueue(lock, request, waiter));
    dispatch(clock_.monotonic());
    const bool waited = !waiter.isSettled();
    while (!waiter.isSettled()) {
        waiter.changed.wait_for(lock, cancellationCheckInterval);
        if (waiter.isSettled())
            break;
        lock.unlock();
        const bool disconnected = cancelled && cancelled();
        lock.lock();
        if (waiter.isSettled())
            break;
        if (disconnected) {
            withdraw(waiter);
            return callerDisconnected();
        }
        // Requests become infeasible and ejections end as time passes, even when no slot is released.
        if (clock_.monotonic() - lastInfeasibilityCheck_ >= cancellationCheckInterval)
            dispatch(clock_.monotonic());
    }
    if (waiter.refusal)
        return *waiter.refusal;
    lock.unlock();
    // When many callers disconnect at once, a freed slot may be granted to another caller that has disconnected; its
    // request must not be sent.
    if (waited && cancelled && cancelled()) {
        release(*waiter.slot, UpstreamOutcome::Unused);
        return callerDisconnected();
    }
    return *waiter.slot;
}

Status ServicePool::enqueue(std::unique_lock<std::mutex>& lock, const SlotRequest& request, Waiter& waiter)
{
    const Milliseconds now = clock_.monotonic();
    if (!selector_.hasUsable(now)) {
        return Error { ErrorCode::Unavailable, "no upstream of the service takes requests", Verdict::NotRun,
            retryAfterWithoutUpstream };
    }
    if (!reserveQueueEntry(lock, request.account))
        return overloadError("the gateway's request queue is full", queue_.expectedWait(rate(now)));
    const auto ticket = queue_.offer({ request.account, request.urgent, request.deadline }, rate(now), now);
    if (!ticket) {
        queueLimiter_.release();
        return ticket.error();
    }
    waiter.ticket = ticket.value();
    waiters_.emplace(waiter.ticket, &waiter);
    return okStatus();
}

bool ServicePool::reserveQueueEntry(std::unique_lock<std::mutex>& lock, const AccountId& account)
{
    if (queueLimiter_.tryReserve())
        return true;
    // The eviction locks other pools, so this pool's lock is released to avoid a deadlock.
    lock.unlock();
    const bool evicted = queueLimiter_.tryEvictLowerWorth(service_);
    lock.lock();
    if (evicted || evictForAccount(account))
        return true;
    // A request that finds this queue empty may get a slot at once, so it is admitted even beyond the limit.
    if (queue_.size() > 0)
        return false;
    queueLimiter_.reserveBeyondLimit();
    return true;
}

bool ServicePool::evictForAccount(const AccountId& incoming)
{
    const bool guaranteed = usage_.isBelowGuarantee(incoming);
    const auto victim = queue_.evictOne(guaranteed ? std::nullopt : std::optional<AccountId>(incoming));
    if (!victim)
        return false;
    refuse(*victim,
        overloadError("evicted from the full queue: another account is below its guarantee or has fewer queued "
                      "requests for its weight",
            queue_.expectedWait(rate(clock_.monotonic()))));
    return true;
}

bool ServicePool::evictOne()
{
    const std::lock_guard lock(mutex_);
    const auto victim = queue_.evictOne();
    if (!victim)
        return false;
    refuse(*victim,
        overloadError("evicted from the full queue by a request of a service with a higher worth",
            queue_.expectedWait(rate(clock_.monotonic()))));
    return true;
}

void ServicePool::refuse(AdmissionTicket ticket, Error error)
{
    const auto position = waiters_.find(ticket);
    if (position == waiters_.end())
        return;
    Waiter& waiter = *position->second;
    waiters_.erase(position);
    waiter.refusal = std::move(error);
    waiter.changed.notify_one();
}

void ServicePool::withdraw(Waiter& waiter)
{
    queue_.remove(waiter.ticket);
    waiters_.erase(waiter.ticket);
    queueLimiter_.release();
}

void ServicePool::dispatch(Milliseconds now)
{
    if (queue_.size() == 0)
        return;
    while (dispatchOne(now)) { }
    if (queue_.size() == 0 || now - lastInfeasibilityCheck_ < infeasibilityCheckInterval)
        return;
    lastInfeasibilityCheck_ = now;
    const ServiceRate current = rate(now);
    for (const AdmissionTicket ticket : queue_.removeInfeasible(current, now)) {
        refuse(ticket, overloadError("the request cannot finish before its deadline", queue_.expectedWait(current)));
        queueLimiter_.release();
    }
}

bool ServicePool::dispatchOne(Milliseconds now)
{
    // The head of the queue is passed over only when the free upstreams are among those that its request already tried.
    const double expectedWait = queue_.expectedWait(rate(now));
    for (const AdmissionTicket ticket : queue_.nextTickets()) {
        Waiter& waiter = *waiters_.at(ticket);
        const RoutingRequest routing { waiter.request.bytes, expectedWait, waiter.request.tried };
        const auto upstream = selector_.choose(routing, random_, now);
        if (!upstream)
            continue;
        queue_.admit(ticket);
        waiters_.erase(ticket);
        queueLimiter_.release();
        waiter.slot = grant(*upstream, waiter.request.account);
        waiter.changed.notify_one();
        return true;
    }
    return false;
}

std::optional<Slot> ServicePool::tryAcquire(const SlotRequest& request)
{
    const std::lock_guard lock(mutex_);
    if (queue_.size() > 0)
        return std::nullopt;
    const auto upstream = selector_.choose({ request.bytes, 0, request.tried }, random_, clock_.monotonic());
    if (!upstream)
        return std::nullopt;
    return grant(*upstream, request.account);
}

Slot ServicePool::grant(const UpstreamId& upstream, const AccountId& account)
{
    usage_.recordStart(account);
    return Slot { upstream, account, connections_.at(upstream), selector_.isCrossRegion(upstream) };
}

void ServicePool::release(
    const Slot& slot, UpstreamOutcome outcome, std::optional<std::int64_t> slotsBusy, std::optional<double> duration)
{
    usage_.recordFinish(slot.account);
    const std::lock_guard lock(mutex_);
    if (duration)
        durations_.record(*duration);
    const Milliseconds now = clock_.monotonic();
    selector_.release(slot.upstream, outcome, slotsBusy, now);
    dispatch(now);
}

ServiceRate ServicePool::rate(Milliseconds now) const
{
    return { std::max(1, selector_.capacity(now)), durations_.mean(), durations_.percentile95() };
}

double ServicePool::meanDuration() const
{
    const std::lock_guard lock(mutex_);
    return durations_.mean();
}

double ServicePool::percentile95() const
{
    const std::lock_guard lock(mutex_);
    return durations_.percentile95();
}

} // namespace rosemarylink::gateway::internal
