#pragma once

#include <cstdint>
#include <iosfwd>
#include <vector>

namespace rosemarylink::bench {

// Runs instances in this process, connected by WebSocket links over loopback, and measures
//  - the time from the acceptance of a configuration version until it is in force on all of 7 instances, with the store
//    up and with the store down after the acceptance. The baseline is propagation by heartbeats alone.
//  - the cost of membership for each instance in fleets of the given sizes: bytes per second, CPU time and memory. The
//    baseline is the first size.
// Prints one line for each measure, as a JSON object or as text. The seed selects the declarations and the proposing
// instances. Returns true if all limits are met.
bool measureMembership(std::uint64_t seed, bool json, std::ostream&, const std::vector<int>& sizes = { 7, 24 });

} // namespace rosemarylink::bench
