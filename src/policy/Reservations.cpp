#include "Reservations.h"

#include "PlaceAmounts.h"
#include "VisitPlaces.h"

#include <set>

namespace rosemarylink::policy::internal {

namespace {

    // A new place must be expected at least this much sooner, since estimates of the same place vary by minutes.
    constexpr Milliseconds changeMargin { 10 * 60 * 1000 };

} // namespace

std::optional<Timestamp> Reservations::startAt(
    const Job& gang, const std::vector<int>& workers, const View& view, const std::vector<char>& taken) const
{
    PlaceAmounts place(workers, gang.shape, view.free, nullptr, &taken);
    if (place.fit() >= gang.shape.tasks)
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
        place.change(*job, 1);
        if (place.fit() >= gang.shape.tasks)
            return end;
    }
    return std::nullopt;
}

std::optional<Reservation> Reservations::earliest(Job& gang, const View& view, const std::vector<char>& taken) const
{
    std::optional<Reservation> best;
    visitPlaces(view.fleet, view.capacity, gang.shape, [&](const std::vector<int>& workers) {
        const auto start = startAt(gang, workers, view, taken);
        if (start && (!best || *start < best->start))
            best = Reservation { &gang, workers, *start, *start };
    });
    return best;
}

bool Reservations::worthChanging(const Reservation& kept, const Reservation& found, Timestamp now) const
{
    return found.expected + changeMargin < kept.expected && (found.expected - now) * 2 < kept.expected - now;
}

void Reservations::update(const std::vector<Job*>& gangs, const View& view)
{
    std::vector<Reservation> updated;
    workerCount_ = view.fleet.workers().size();
    std::vector<char> taken(workerCount_, 0);
    std::int64_t left = 0;
    for (const Worker& worker : view.fleet.workers())
        left += worker.capacity.accelerators;
    left /= shareDivisor;
    for (Job* gang : gangs) {
        if (updated.size() == most || left <= 0)
            break;
        std::optional<Reservation> chosen = earliest(*gang, view, taken);
        if (const Reservation* kept = find(*gang)) {
            Reservation renewed = *kept;
            const auto start = startAt(*gang, kept->workers, view, taken);
            if (start) {
                renewed.expected = *start;
                renewed.start = std::min(renewed.start, renewed.expected);
                if (!chosen || !worthChanging(renewed, *chosen, view.now))
                    chosen = std::move(renewed);
            }
        }
        if (!chosen)
            continue;
        for (const int worker : chosen->workers) {
            taken[static_cast<std::size_t>(worker)] = 1;
            left -= view.fleet.worker(worker).capacity.accelerators;
        }
        updated.push_back(std::move(*chosen));
    }
    reservations_ = std::move(updated);
    for (auto& mask : masks_)
        mask.clear();
}

void Reservations::forget(const Job& job)
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

unsigned Reservations::blockingSet(Timestamp end, const Job& job) const
{
    unsigned set = 0;
    for (std::size_t index = 0; index < reservations_.size(); ++index) {
        if (reservations_[index].job != &job && end > reservations_[index].start)
            set |= 1U << index;
    }
    return set;
}

const std::vector<char>* Reservations::closedUntil(Timestamp end, const Job& job)
{
    const unsigned set = blockingSet(end, job);
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
