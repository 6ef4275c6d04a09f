#pragma once

#include "RunTimeEstimates.h"

#include <array>
#include <vector>

namespace rosemarylink::policy::internal {

// A place that is kept for a large waiting gang, and when it is expected to be free.
struct Reservation {
    Job* job = nullptr;
    std::vector<int> workers; // the whole place, in rising order
    Timestamp start; // work that would end later is kept out; it never moves back, so that the place does drain
    Timestamp expected; // when the place is now expected to be free
};

// Reservations in time for the large waiting gangs. A place stays with its gang until the gang starts, unless another
// is expected to be free much sooner: a place that kept changing would give no bound on the wait.
class Reservations {
public:
    static constexpr std::size_t most = 4;

    // Reserved places may hold this part of all accelerators at most, beyond the first reservation. With more, a small
    // fleet has no other place left, all other work moves into guaranteed slots, and the reserved places never drain.
    static constexpr std::int64_t shareDivisor = 3;

    struct View {
        const Fleet& fleet;
        const Ledger& free;
        const Ledger& capacity;
        const std::vector<std::vector<Job*>>& jobsOn;
        const RunTimeEstimates& estimates;
        Timestamp now;
    };

    // Keeps, renews and adds reservations for the first of the gangs, in their order.
    void update(const std::vector<Job*>& gangs, const View&);

    void forget(const Job&);
    const Reservation* find(const Job&) const;
    const std::vector<Reservation>& all() const { return reservations_; }

    // The workers that a job may not use if it is expected to end at the given time; nullptr when there are none.
    const std::vector<char>* closedUntil(Timestamp end, const Job&);

    // Numbers the set of reservations that closedUntil applies, to compare two jobs by it.
    unsigned blockingSet(Timestamp end, const Job&) const;

private:
    std::optional<Reservation> earliest(Job&, const View&, const std::vector<char>& taken) const;
    std::optional<Timestamp> startAt(
        const Job&, const std::vector<int>& workers, const View&, const std::vector<char>& taken) const;
    bool worthChanging(const Reservation& kept, const Reservation& found, Timestamp now) const;

    std::vector<Reservation> reservations_;
    std::array<std::vector<char>, 1U << most> masks_;
    std::size_t workerCount_ = 0;
};

} // namespace rosemarylink::policy::internal
