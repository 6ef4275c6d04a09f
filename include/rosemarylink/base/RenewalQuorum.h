#pragma once

#include "rosemarylink/base/Units.h"

#include <cstddef>
#include <vector>

// An owner that the store turns away cannot tell an outage for all instances, through which runs shall go on, from a
// cut of its own, behind which another instance has become the owner. The next owner cannot tell whether the previous
// one still renews the lease of a worker that it does not reach itself. The workers settle both, because a worker that
// has been called by the next owner refuses the previous one:
//
// - Without a valid store lease, an owner renews workers' leases only while a renewal quorum of the workers that it
//   knows has accepted its token in calls that were sent within the last window.
// - A new owner counts the longest lease of a worker that it does not reach from a window after the moment at which a
//   takeover quorum of the workers that it knows had responded to it.
//
// The two quorums together exceed all workers, so that at least one worker is in both. It has accepted the new owner's
// token and refuses the previous one, whose quorum ends. The margin allows for workers that join or leave between the
// two owners' lists. A worker that has restarted knows no token, so that it does not count for an owner without the
// store lease unless that owner had seen the process before.
//
// Where no takeover quorum responds, most workers are gone or cut off together with the previous owner. Therefore an
// owner renews no lease later than a fixed time after the end of its store lease, and a new owner waits for that
// instead. So that time is also how long an outage for all may last without an end of the runs.
namespace rosemarylink {

inline constexpr std::size_t renewalQuorumPercent = 75;
inline constexpr std::size_t takeoverQuorumPercent = 30;

// Returns until when an owner without a valid store lease may renew workers' leases, given the times at which the
// accepted calls were sent, one for each worker that counts, and the number of workers that the owner knows. Returns 0
// if too few workers have accepted calls.
Milliseconds renewalQuorumUntil(std::vector<Milliseconds> acceptedAt, std::size_t workers, Milliseconds window);

// Whether the workers that have responded to a new owner are a takeover quorum.
bool isTakeoverQuorum(std::size_t responded, std::size_t workers);

} // namespace rosemarylink
