#pragma once

#include "RunTimeEstimates.h"

#include <array>
#include <vector>

namespace rosemarylink::policy::internal {

// A group of workers that is reserved for a large waiting gang until enough of it is free.
struct Reservation {
    Job* job = nullptr;
    std::vector<int> workers; // the whole group, in ascending order
    Timestamp start; // work expected to end later is kept off the group; never postponed, so that the group drains
    Timestamp expectedStart; // current estimate of when the gang can start
};

// Reserves groups of workers for large waiting gangs. A gang keeps its group until it starts, unless another group is
// expected to be free much sooner: if groups changed often, the wait would have no bound.
class Reservations {
public:
    static constexpr std::size_t maxReservations = 4;

    // A reservation is added only while less than this fraction (one third) of all accelerators is reserved. With more,
    // a small fleet has no other free capacity, all other work moves into guaranteed slots, and the reserved groups
    // never drain.
    static constexpr std::int64_t reservedShareDivisor = 3;

    struct ClusterView {
        const Fleet& fleet;
        const CapacityIndex& free;
        const CapacityIndex& capacity;
        const std::vector<std::vector<Job*>>& jobsOn;
        const RunTimeEstimates& estimates;
        Timestamp now;
    };

    // Keeps, updates and adds reservations for the first gangs of the list, in its order. Removes all others.
    void update(const std::vector<Job*>& gangs, const ClusterView&);

    void remove(const Job&);
    const Reservation* find(const Job&) const;
    const std::vector<Reservation>& all() const { return reservations_; }

    // The workers that a job may not use if it is expected to end at the given time; nullptr if there are none. The
    // mask is valid until the next non-const call.
    const std::vector<char>* excludedWorkers(Timestamp end, const Job&);

    // The reservations that excludedWorkers applies, as a bit set by index. Jobs with equal sets have the same excluded
    // workers.
    unsigned blockingReservations(Timestamp end, const Job&) const;

private:
    std::optional<Reservation> findEarliest(Job&, const ClusterView&, const std::vector<char>& reservedWorkers) const;
    std::optional<Timestamp> earliestStart(const Job&, const std::vector<int>& workers, const ClusterView&,
        const std::vector<char>& reservedWorkers) const;
    bool shouldSwitch(const Reservation& kept, const Reservation& found, Timestamp now) const;

    std::vector<Reservation> reservations_;
    std::array<std::vector<char>, 1U << maxReservations> masks_;
    std::size_t workerCount_ = 0;
};

} // namespace rosemarylink::policy::internal
