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
            reservation.freeAtStart.give(fleet_, worker, job->shape.perTask);
        reservation.start = end;
        if (const auto place = findPlacement(space, head.shape, FitRule::FirstFit)) {
            for (const int worker : *place)
                reservation.freeAtStart.take(fleet_, worker, head.shape.perTask);
            return reservation;
        }
    }
    return std::nullopt;
}

bool BackfillPolicy::tryBackfill(Job& job, std::optional<Reservation>& reservation, Decisions& decisions, Timestamp now)
{
    SearchSpace space { fleet_, free_ };
    const bool endsBefore = !reservation || now + job.spec.declaredRunTime <= reservation->start;
    if (!endsBefore)
        space.alsoFree = &reservation->freeAtStart;
    auto place = findPlacement(space, job.shape, FitRule::FirstFit);
    if (!place)
        return false;
    if (!endsBefore) {
        for (const int worker : *place)
            reservation->freeAtStart.take(fleet_, worker, job.shape.perTask);
    }
    occupy(job, std::move(*place), Hold::Firm, Phase::Starting);
    start(job, decisions, now);
    return true;
}

void BackfillPolicy::choose(Decisions& decisions, Timestamp now)
{
    std::optional<Reservation> reservation;
    bool hasHead = false;
    for (auto next = jobs_.waiting().begin(); next != jobs_.waiting().end();) {
        Job& job = *(next++)->second;
        if (job.notBefore > now || !withinQuota(job) || tryBackfill(job, reservation, decisions, now) || hasHead)
            continue;
        hasHead = true;
        reservation = reserve(job, now);
    }
    changed_ = false;
}

} // namespace rosemarylink::policy::internal
