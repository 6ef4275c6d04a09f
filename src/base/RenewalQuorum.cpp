#include "rosemarylink/base/RenewalQuorum.h"

#include <algorithm>
#include <functional>

namespace rosemarylink {

Milliseconds renewalQuorumUntil(std::vector<Milliseconds> acceptedAt, std::size_t workers, Milliseconds window)
{
    const std::size_t needed = workers * renewalQuorumPercent / 100 + 1;
    if (acceptedAt.size() < needed)
        return Milliseconds(0);
    const auto last = acceptedAt.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(acceptedAt.begin(), last, acceptedAt.end(), std::greater<>());
    return *last + window;
}

bool isTakeoverQuorum(std::size_t responded, std::size_t workers)
{
    return responded * 100 >= workers * takeoverQuorumPercent;
}

} // namespace rosemarylink
