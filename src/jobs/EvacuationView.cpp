#include "EvacuationView.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs::internal {

Milliseconds EvacuationView::maximumAge(Milliseconds evacuationTimeout)
{
    return evacuationTimeout - std::min(commandTime, evacuationTimeout / 2);
}

bool EvacuationView::update(
    const std::map<FailureDomainId, Revision>& list, Milliseconds requestedAt, Milliseconds receivedAt)
{
    if (requestedAt_ && requestedAt < *requestedAt_)
        return false;
    requestedAt_ = requestedAt;
    Evacuations next;
    for (const auto& [domain, revision] : list) {
        const auto known = evacuations_.find(domain);
        const bool same = known != evacuations_.end() && known->second.revision == revision;
        next[domain] = same ? known->second : Evacuation { revision, receivedAt };
    }
    evacuations_ = std::move(next);
    return true;
}

bool EvacuationView::mayStart(Milliseconds now, Milliseconds evacuationTimeout) const
{
    return requestedAt_ && now - *requestedAt_ <= maximumAge(evacuationTimeout);
}

} // namespace rosemarylink::jobs::internal
