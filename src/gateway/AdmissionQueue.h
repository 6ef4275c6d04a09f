#pragma once

#include "AccountUsage.h"

#include "rosemarylink/base/Error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rosemarylink::gateway::internal {

// A request for a slot of a service.
struct AdmissionRequest {
    AccountId account;
    bool urgent = false; // dequeued before the account's other requests
    Milliseconds deadline { 0 }; // on the monotonic clock
};

// The current capacity and response times of a service.
struct ServiceRate {
    int capacity = 1; // requests that may be in progress at once
    double serviceTime = 0; // ms, mean
    double slowServiceTime = 0; // ms, 95th percentile
};

using AdmissionTicket = std::uint64_t;

// The queue of requests that wait for slots of one service. Accounts below their guarantee come first. The other
// accounts share the capacity by weight, in the order of the virtual times of start-time fair queueing (Goyal, Vin and
// Cheng, 1996). A request that cannot finish before its deadline is refused at once. Does no I/O and reads no clock.
// Not safe to use from several threads.
class AdmissionQueue {
public:
    explicit AdmissionQueue(const AccountUsage&);

    // Adds a request. Fails with ResourceExhausted, NotRun and a retry delay when it is not expected to finish before
    // its deadline.
    Result<AdmissionTicket> offer(const AdmissionRequest&, const ServiceRate&, Milliseconds now);

    // Returns the first ticket of each account, in the order in which they are to get slots.
    std::vector<AdmissionTicket> nextTickets() const;

    // Removes a ticket that got a slot, and charges the slot to the virtual time of its account.
    void admit(AdmissionTicket);

    // Removes a ticket that did not get a slot; its account is not charged.
    void remove(AdmissionTicket);

    // Removes and returns the tickets that can no longer finish before their deadlines.
    std::vector<AdmissionTicket> removeInfeasible(const ServiceRate&, Milliseconds now);

    // Removes and returns the ticket to refuse when the queue is full: the newest one of the account with the most
    // queued requests per weight. Accounts below their guarantee are not considered. When an incoming account is given,
    // only accounts with more queued requests per weight than that account, its new request included, are considered.
    std::optional<AdmissionTicket> evictOne(const std::optional<AccountId>& incoming = std::nullopt);

    std::size_t size() const { return size_; }

    // Returns the expected wait in ms of a request that is queued behind all others.
    double expectedWait(const ServiceRate&) const;

private:
    struct AccountQueue {
        std::map<AdmissionTicket, AdmissionRequest> urgent; // ticket numbers increase with arrival
        std::map<AdmissionTicket, AdmissionRequest> other;
        double virtualTime = 0;

        std::size_t size() const { return urgent.size() + other.size(); }
        AdmissionTicket first() const { return urgent.empty() ? other.begin()->first : urgent.begin()->first; }
    };

    std::size_t countAhead(const AccountId&) const;
    double queuedPerWeight(const AccountId&, std::size_t waiting) const;
    // Removes the ticket and returns its account's queue, or null when the ticket is unknown.
    AccountQueue* erase(AdmissionTicket);

    const AccountUsage& usage_;
    std::map<AccountId, AccountQueue> accounts_;
    std::map<AdmissionTicket, AccountId> owners_;
    double virtualNow_ = 0;
    std::size_t size_ = 0;
    AdmissionTicket nextTicket_ = 1;
};

// The error of a request that is refused because it would miss its deadline or the queue is full. The wait in ms
// becomes the retry delay, clamped to between 10 ms and 60 s.
Error overloadError(const std::string& message, double waitMilliseconds);

} // namespace rosemarylink::gateway::internal
