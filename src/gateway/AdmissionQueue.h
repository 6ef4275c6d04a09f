#pragma once

#include "AccountUsage.h"

#include "rosemarylink/base/Error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rosemarylink::gateway::internal {

// A request that wants a slot of a service.
struct AdmissionRequest {
    AccountId account;
    bool urgent = false; // goes before the account's other requests
    Milliseconds deadline { 0 }; // monotonic
};

// What a service can take at the moment.
struct ServiceRate {
    int capacity = 1; // requests in progress at once
    double serviceTime = 0; // ms, mean
    double slowServiceTime = 0; // ms, 95th percentile
};

using AdmissionTicket = std::uint64_t;

// The requests that wait for slots of one service. Accounts below their guarantee come first; the others share by
// weight, by the virtual times of start-time fair queueing (Goyal, Vin and Cheng, 1996). What cannot finish in time is
// refused at once. Pure decisions; not safe to use from several threads.
class AdmissionQueue {
public:
    explicit AdmissionQueue(const AccountUsage&);

    // Takes a request in. Fails with ResourceExhausted, NotRun and a retry time when it could not finish in time.
    Result<AdmissionTicket> offer(const AdmissionRequest&, const ServiceRate&, Milliseconds now);

    // The first ticket of each account, in the order in which they get slots now.
    std::vector<AdmissionTicket> nextTickets() const;

    // Removes a ticket that got its slot, which counts against its account.
    void serve(AdmissionTicket);

    // Removes a ticket that left the queue without a slot.
    void remove(AdmissionTicket);

    // Removes and returns the tickets that cannot finish in time any more.
    std::vector<AdmissionTicket> takeHopeless(const ServiceRate&, Milliseconds now);

    // Removes and returns the ticket that is given up when the waiting room is full: the newest one of the account that
    // waits with most requests for its weight, among accounts above their guarantee. For a newcomer, only accounts that
    // wait with more for their weight than the newcomer's account are considered.
    std::optional<AdmissionTicket> evictCheapest(const std::optional<AccountId>& newcomer = std::nullopt);

    std::size_t size() const { return size_; }

    // Expected wait of one more request behind those that wait, in ms.
    double expectedWait(const ServiceRate&) const;

private:
    struct AccountQueue {
        std::map<AdmissionTicket, AdmissionRequest> urgent; // tickets rise with arrival
        std::map<AdmissionTicket, AdmissionRequest> other;
        double virtualTime = 0;

        std::size_t size() const { return urgent.size() + other.size(); }
        AdmissionTicket first() const { return urgent.empty() ? other.begin()->first : urgent.begin()->first; }
    };

    std::size_t countAhead(const AccountId&) const;
    double waitingForWeight(const AccountId&, std::size_t waiting) const;
    // Removes the ticket; returns its account's queue, or null when it is unknown.
    AccountQueue* erase(AdmissionTicket);

    const AccountUsage& usage_;
    std::map<AccountId, AccountQueue> accounts_;
    std::map<AdmissionTicket, AccountId> owners_;
    double virtualNow_ = 0;
    std::size_t size_ = 0;
    AdmissionTicket nextTicket_ = 1;
};

// The refusal of a request that would not finish in time or finds no room to wait.
Error overloadError(const std::string& message, double waitMilliseconds);

} // namespace rosemarylink::gateway::internal
