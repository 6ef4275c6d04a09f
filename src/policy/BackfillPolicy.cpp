#include "BackfillPolicy.h"

namespace rosemarylink::policy::internal {

std::optional<BackfillPolicy::Reservation> BackfillPolicy::reserve(const Job& head, Timestamp now) const
{
    std::vector<std::pair<Timestamp, const Job*>> ends;
    for (const auto& [sequence, job] : jobs_.placed())
        ends.emplace_back(std::max(job->started + job->spec.declaredRunTime, now), job);
    std::stable_sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    Reservation reservation { now, free_ };
    const SearchSpace space { fleet_, reservation.freeAtStart };
    for (const auto& [end, job] : ends) {
        for (const int worker : job->workers)
            reservation.freeAtStart.release(fleet_, worker, job->shape.perTask);
        reservation.start = end;
        if (const auto placement = findPlacement(space, head.shape, FitRule::FirstFit)) {
            for (const int worker : *placement)
                reservation.freeAtStart.allocate(fleet_, worker, head.shape.perTask);
            return reservation;
        }
    }
    return std::nullopt;
}

bool BackfillPolicy::tryBackfill(Job& job, std::optional<Reservation>& reservation, Decisions& decisions, Timestamp now)
{
    SearchSpace space { fleet_, free_ };
    const bool endsBeforeReservation = !reservation || now + job.spec.declaredRunTime <= reservation->start;
    if (!endsBeforeReservation)
        space.alsoFree = &reservation->freeAtStart;
    auto placement = findPlacement(space, job.shape, FitRule::FirstFit);
    if (!placement)
        return false;
    if (!endsBeforeReservation) {
        for (const int worker : *placement)
            reservation->freeAtStart.allocate(fleet_, worker, job.shape.perTask);
    }
    allocate(job, std::move(*placement), CapacityClass::Dedicated, Phase::Starting);
    start(job, decisions, now);
    return true;
}

void BackfillPolicy::schedule(Decisions& decisions, Timestamp now)
{
    std::optional<Reservation> reservation;
    bool hasBlockedHead = false;
    for (auto next = jobs_.waiting().begin(); next != jobs_.waiting().end();) {
        Job& job = *(next++)->second;
        if (job.notBefore > now || !withinQuota(job) || tryBackfill(job, reservation, decisions, now) || hasBlockedHead)
            continue;
        hasBlockedHead = true;
        reservation = reserve(job, now);
    }
    changed_ = false;
}

} // namespace rosemarylink::policy::internal
