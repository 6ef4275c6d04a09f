#include "Reservations.h"

#include "GroupCapacity.h"
#include "VisitWorkerGroups.h"

#include <set>

namespace rosemarylink::policy::internal {

namespace {

    // A new group must be expected to be free at least this much sooner, because estimates for the same group vary by
    // minutes.
    constexpr Milliseconds switchMargin { 10 * 60 * 1000 };

} // namespace

std::optional<Timestamp> Reservations::earliestStart(const Job& gang, const std::vector<int>& workers,
    const ClusterView& view, const std::vector<char>& reservedWorkers) const
{
    GroupCapacity group(workers, gang.shape, view.free, nullptr, &reservedWorkers);
    if (group.fit() >= gang.shape.tasks)
        return view.now;
    std::set<Job*> seen;
    std::vector<std::pair<Timestamp, Job*>> ends;
    for (const int worker : workers) {
        for (Job* job : view.jobsOn[static_cast<std::size_t>(worker)]) {
            if (!seen.insert(job).second)
                continue;
            const bool stopping = job->phase == Phase::Stopping;
            ends.emplace_back(stopping ? view.now : view.now + expectedRemaining(view.estimates, *job, view.now), job);
        }
    }
    std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first < b.first : a.second->sequence < b.second->sequence;
    });
    for (const auto& [end, job] : ends) {
        group.adjust(*job, 1);
        if (group.fit() >= gang.shape.tasks)
            return end;
    }
    return std::nullopt;
}

std::optional<Reservation> Reservations::findEarliest(
    Job& gang, const ClusterView& view, const std::vector<char>& reservedWorkers) const
{
    std::optional<Reservation> best;
    visitWorkerGroups(view.fleet, view.capacity, gang.shape, [&](const std::vector<int>& workers) {
        const auto start = earliestStart(gang, workers, view, reservedWorkers);
        if (start && (!best || *start < best->start))
            best = Reservation { &gang, workers, *start, *start };
    });
    return best;
}

bool Reservations::shouldSwitch(const Reservation& kept, const Reservation& found, Timestamp now) const
{
    return found.expectedStart + switchMargin < kept.expectedStart
        && (found.expectedStart - now) * 2 < kept.expectedStart - now;
}

void Reservations::update(const std::vector<Job*>& gangs, const ClusterView& view)
{
    std::vector<Reservation> updated;
    workerCount_ = view.fleet.workers().size();
    std::vector<char> reservedWorkers(workerCount_, 0);
    std::int64_t budget = 0;
    for (const Worker& worker : view.fleet.workers())
        budget += worker.capacity.accelerators;
    budget /= reservedShareDivisor;
    for (Job* gang : gangs) {
        if (updated.size() == maxReservations || budget <= 0)
            break;
        std::optional<Reservation> chosen = findEarliest(*gang, view, reservedWorkers);
        if (const Reservation* kept = find(*gang)) {
            Reservation renewed = *kept;
            const auto start = earliestStart(*gang, kept->workers, view, reservedWorkers);
            if (start) {
                renewed.expectedStart = *start;
                renewed.start = std::min(renewed.start, renewed.expectedStart);
                if (!chosen || !shouldSwitch(renewed, *chosen, view.now))
                    chosen = std::move(renewed);
            }
        }
        if (!chosen)
            continue;
        for (const int worker : chosen->workers) {
            reservedWorkers[static_cast<std::size_t>(worker)] = 1;
            budget -= view.fleet.worker(worker).capacity.accelerators;
        }
        updated.push_back(std::move(*chosen));
    }
    reservations_ = std::move(updated);
    for (auto& mask : masks_)
        mask.clear();
}

void Reservations::remove(const Job& job)
{
    reservations_.erase(std::remove_if(reservations_.begin(), reservations_.end(),
                            [&job](const Reservation& reservation) { return reservation.job == &job; }),
        reservations_.end());
    for (auto& mask : masks_)
        mask.clear();
}

const Reservation* Reservations::find(const Job& job) const
{
    for (const Reservation& reservation : reservations_) {
        if (reservation.job == &job)
            return &reservation;
    }
    return nullptr;
}

unsigned Reservations::blockingReservations(Timestamp end, const Job& job) const
{
    unsigned set = 0;
    for (std::size_t index = 0; index < reservations_.size(); ++index) {
        if (reservations_[index].job != &job && end > reservations_[index].start)
            set |= 1U << index;
    }
    return set;
}

const std::vector<char>* Reservations::excludedWorkers(Timestamp end, const Job& job)
{
    const unsigned set = blockingReservations(end, job);
    if (set == 0)
        return nullptr;
    std::vector<char>& mask = masks_[set];
    if (mask.empty()) {
        mask.assign(workerCount_, 0);
        for (std::size_t index = 0; index < reservations_.size(); ++index) {
            if ((set & (1U << index)) == 0)
                continue;
            for (const int worker : reservations_[index].workers)
                mask[static_cast<std::size_t>(worker)] = 1;
        }
    }
    return &mask;
}

} // namespace rosemarylink::policy::internal
