#include "AdmissionQueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rosemarylink::gateway::internal {

namespace {

    // The wait is estimated from means. Without a safety factor, an overloaded queue reaches an equilibrium in which
    // the admitted requests finish just around their deadlines, and half of them too late.
    constexpr double waitSafetyFactor = 1.5;

    double estimatedWait(std::size_t ahead, const ServiceRate& rate)
    {
        return static_cast<double>(ahead) * rate.serviceTime / std::max(1, rate.capacity);
    }

    bool finishesInTime(const AdmissionRequest& request, double time, Milliseconds now)
    {
        return static_cast<double>(now.count()) + time < static_cast<double>(request.deadline.count());
    }

} // namespace

Error overloadError(const std::string& message, double waitMilliseconds)
{
    const Milliseconds retryAfter(std::clamp<std::int64_t>(std::llround(waitMilliseconds), 10, 60000));
    return Error { ErrorCode::ResourceExhausted, message, Verdict::NotRun, retryAfter };
}

AdmissionQueue::AdmissionQueue(const AccountUsage& usage)
    : usage_(usage)
{
}

Result<AdmissionTicket> AdmissionQueue::offer(
    const AdmissionRequest& request, const ServiceRate& rate, Milliseconds now)
{
    const double wait = estimatedWait(countAhead(request.account), rate);
    // With an empty queue the estimated service time is ignored. Otherwise an estimate that is too high would refuse
    // every request, and no response would ever correct it.
    const bool inTime = size_ == 0 ? now < request.deadline
                                   : finishesInTime(request, waitSafetyFactor * wait + rate.slowServiceTime, now);
    if (!inTime)
        return overloadError("the request cannot finish before its deadline", wait);
    AccountQueue& queue = accounts_[request.account];
    // An idle account does not accumulate credit.
    if (queue.size() == 0)
        queue.virtualTime = std::max(queue.virtualTime, virtualNow_);
    const AdmissionTicket ticket = nextTicket_++;
    (request.urgent ? queue.urgent : queue.other).emplace(ticket, request);
    owners_.emplace(ticket, request.account);
    ++size_;
    return ticket;
}

std::vector<AdmissionTicket> AdmissionQueue::nextTickets() const
{
    using Order = std::tuple<bool, double, AdmissionTicket>;
    std::vector<Order> order;
    for (const auto& [account, queue] : accounts_) {
        if (queue.size() > 0)
            order.emplace_back(!usage_.isBelowGuarantee(account), queue.virtualTime, queue.first());
    }
    std::sort(order.begin(), order.end());
    std::vector<AdmissionTicket> tickets;
    tickets.reserve(order.size());
    for (const Order& entry : order)
        tickets.push_back(std::get<AdmissionTicket>(entry));
    return tickets;
}

void AdmissionQueue::admit(AdmissionTicket ticket)
{
    const auto owner = owners_.find(ticket);
    if (owner == owners_.end())
        return;
    const AccountId account = owner->second;
    if (AccountQueue* queue = erase(ticket)) {
        virtualNow_ = std::max(virtualNow_, queue->virtualTime);
        queue->virtualTime += 1 / usage_.weight(account);
    }
}

void AdmissionQueue::remove(AdmissionTicket ticket) { erase(ticket); }

std::vector<AdmissionTicket> AdmissionQueue::removeInfeasible(const ServiceRate& rate, Milliseconds now)
{
    std::vector<AdmissionTicket> infeasible;
    for (const auto& [account, queue] : accounts_) {
        for (const auto* part : { &queue.urgent, &queue.other }) {
            for (const auto& [ticket, request] : *part) {
                if (!finishesInTime(request, rate.serviceTime, now))
                    infeasible.push_back(ticket);
            }
        }
    }
    for (const AdmissionTicket ticket : infeasible)
        erase(ticket);
    return infeasible;
}

std::optional<AdmissionTicket> AdmissionQueue::evictOne(const std::optional<AccountId>& incoming)
{
    const AccountQueue* chosen = nullptr;
    double highest = 0;
    if (incoming) {
        const auto own = accounts_.find(*incoming);
        highest = queuedPerWeight(*incoming, (own == accounts_.end() ? 0 : own->second.size()) + 1);
    }
    for (const auto& [account, queue] : accounts_) {
        if (queue.size() == 0 || usage_.isBelowGuarantee(account) || account == incoming)
            continue;
        const double waiting = queuedPerWeight(account, queue.size());
        if (waiting > highest) {
            highest = waiting;
            chosen = &queue;
        }
    }
    if (!chosen)
        return std::nullopt;
    const AdmissionTicket ticket
        = chosen->other.empty() ? chosen->urgent.rbegin()->first : chosen->other.rbegin()->first;
    erase(ticket);
    return ticket;
}

double AdmissionQueue::expectedWait(const ServiceRate& rate) const { return estimatedWait(size_, rate); }

std::size_t AdmissionQueue::countAhead(const AccountId& account) const
{
    if (!usage_.isBelowGuarantee(account))
        return size_;
    std::size_t ahead = 0;
    for (const auto& [other, queue] : accounts_)
        ahead += queue.size() > 0 && usage_.isBelowGuarantee(other) ? queue.size() : 0;
    return ahead;
}

double AdmissionQueue::queuedPerWeight(const AccountId& account, std::size_t waiting) const
{
    return static_cast<double>(waiting) / usage_.weight(account);
}

AdmissionQueue::AccountQueue* AdmissionQueue::erase(AdmissionTicket ticket)
{
    const auto owner = owners_.find(ticket);
    if (owner == owners_.end())
        return nullptr;
    AccountQueue& queue = accounts_.at(owner->second);
    queue.urgent.erase(ticket);
    queue.other.erase(ticket);
    owners_.erase(owner);
    --size_;
    return &queue;
}

} // namespace rosemarylink::gateway::internal
