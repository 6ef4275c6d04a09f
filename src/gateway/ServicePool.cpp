#include "ServicePool.h"

#include <algorithm>

namespace rosemarylink::gateway::internal {

namespace {

    // How often a waiting request looks whether its caller is still there.
    constexpr Milliseconds cancellationCheck { 20 };
    // The queue is searched for hopeless requests at most this often; each search visits every waiting request.
    constexpr Milliseconds shedInterval { 5 };
    constexpr double initialDuration = 5; // ms, until the first answer
    constexpr Milliseconds retryWithoutUpstream { 1000 };

    Error callerLeft() { return makeError(ErrorCode::DeadlineExceeded, "the caller left while the request waited"); }

} // namespace

struct ServicePool::Waiter {
    SlotRequest request;
    AdmissionTicket ticket = 0;
    std::condition_variable changed;
    std::optional<Slot> slot;
    std::optional<Error> refusal;

    bool isSettled() const { return slot || refusal; }
};

ServicePool::ServicePool(
    ServiceId service, const ServicePoolOptions& options, AccountUsage& usage, WaitingRoom& room, const Clock& clock)
    : service_(std::move(service))
    , options_(options)
    , usage_(usage)
    , room_(room)
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
        waiter.changed.wait_for(lock, cancellationCheck);
        if (waiter.isSettled())
            break;
        lock.unlock();
        const bool gone = cancelled && cancelled();
        lock.lock();
        if (waiter.isSettled())
            break;
        if (gone) {
            leave(waiter);
            return callerLeft();
        }
        // Time alone can make requests hopeless or end an ejection when no slot is given back.
        if (clock_.monotonic() - shedAt_ >= cancellationCheck)
            dispatch(clock_.monotonic());
    }
    if (waiter.refusal)
        return *waiter.refusal;
    lock.unlock();
    // In a wave of cancellations a freed slot would otherwise go to the next caller that has left, and its request out.
    if (waited && cancelled && cancelled()) {
        release(*waiter.slot, UpstreamOutcome::Unused);
        return callerLeft();
    }
    return *waiter.slot;
}

Status ServicePool::enqueue(std::unique_lock<std::mutex>& lock, const SlotRequest& request, Waiter& waiter)
{
    const Milliseconds now = clock_.monotonic();
    if (!selector_.hasReady(now)) {
        return Error { ErrorCode::Unavailable, "no upstream of the service takes requests", Verdict::NotRun,
            retryWithoutUpstream };
    }
    if (!takePlace(lock, request.account))
        return overloadError("too many requests wait for the service", queue_.expectedWait(rate(now)));
    const auto ticket = queue_.offer({ request.account, request.urgent, request.deadline }, rate(now), now);
    if (!ticket) {
        room_.leave();
        return ticket.error();
    }
    waiter.ticket = ticket.value();
    waiters_.emplace(waiter.ticket, &waiter);
    return okStatus();
}

bool ServicePool::takePlace(std::unique_lock<std::mutex>& lock, const AccountId& account)
{
    if (room_.tryEnter())
        return true;
    // The other pool's lock is taken for the eviction, so this one is released.
    lock.unlock();
    const bool replaced = room_.tryReplaceCheaper(service_);
    lock.lock();
    if (replaced || evictFor(account))
        return true;
    // A request that finds the queue empty may get a slot at once, so it is taken in even when the room is full.
    if (queue_.size() > 0)
        return false;
    room_.enterBeyondLimit();
    return true;
}

bool ServicePool::evictFor(const AccountId& newcomer)
{
    const bool guaranteed = usage_.isBelowGuarantee(newcomer);
    const auto victim = queue_.evictCheapest(guaranteed ? std::nullopt : std::optional<AccountId>(newcomer));
    if (!victim)
        return false;
    refuse(*victim,
        overloadError("a request of an account with a better claim took the place in the queue",
            queue_.expectedWait(rate(clock_.monotonic()))));
    return true;
}

bool ServicePool::evictOne()
{
    const std::lock_guard lock(mutex_);
    const auto victim = queue_.evictCheapest();
    if (!victim)
        return false;
    refuse(*victim,
        overloadError(
            "a request of higher worth took the place in the queue", queue_.expectedWait(rate(clock_.monotonic()))));
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

void ServicePool::leave(Waiter& waiter)
{
    queue_.remove(waiter.ticket);
    waiters_.erase(waiter.ticket);
    room_.leave();
}

void ServicePool::dispatch(Milliseconds now)
{
    if (queue_.size() == 0)
        return;
    while (dispatchOne(now)) { }
    if (queue_.size() == 0 || now - shedAt_ < shedInterval)
        return;
    shedAt_ = now;
    const ServiceRate current = rate(now);
    for (const AdmissionTicket ticket : queue_.takeHopeless(current, now)) {
        refuse(ticket, overloadError("the request could not finish before its deadline", queue_.expectedWait(current)));
        room_.leave();
    }
}

bool ServicePool::dispatchOne(Milliseconds now)
{
    // A request far away from the head is served first only when the head's own retries exclude the free upstreams.
    const double expectedWait = queue_.expectedWait(rate(now));
    for (const AdmissionTicket ticket : queue_.nextTickets()) {
        Waiter& waiter = *waiters_.at(ticket);
        const RoutingRequest routing { waiter.request.bytes, expectedWait, waiter.request.tried };
        const auto upstream = selector_.choose(routing, random_, now);
        if (!upstream)
            continue;
        queue_.serve(ticket);
        waiters_.erase(ticket);
        room_.leave();
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
    usage_.started(account);
    return Slot { upstream, account, connections_.at(upstream), selector_.isCrossRegion(upstream) };
}

void ServicePool::release(
    const Slot& slot, UpstreamOutcome outcome, std::optional<std::int64_t> slotsBusy, std::optional<double> duration)
{
    usage_.finished(slot.account);
    const std::lock_guard lock(mutex_);
    if (duration)
        durations_.record(*duration);
    const Milliseconds now = clock_.monotonic();
    selector_.finish(slot.upstream, outcome, slotsBusy, now);
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
