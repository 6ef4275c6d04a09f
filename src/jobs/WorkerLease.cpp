#include "WorkerLease.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

void WorkerLease::extend(Milliseconds end) { end_ = std::max(end_, end); }

WorkerLease::Extension WorkerLease::extendBy(Milliseconds end)
{
    pending_.emplace(++last_, end);
    return last_;
}

void WorkerLease::settle(Extension extension, bool mayHaveReached)
{
    const auto position = pending_.find(extension);
    if (position == pending_.end())
        return;
    if (mayHaveReached)
        extend(position->second);
    pending_.erase(position);
}

void WorkerLease::reset(Milliseconds end)
{
    end_ = end;
    pending_.clear();
}

Milliseconds WorkerLease::end() const
{
    Milliseconds latest = end_;
    for (const auto& [extension, end] : pending_)
        latest = std::max(latest, end);
    return latest.count() > 0 ? latest + longestKill : latest;
}

} // namespace rosemarylink::jobs::internal
