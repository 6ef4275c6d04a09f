#pragma once

#include <cstdint>
#include <iosfwd>
#include <vector>

namespace rosemarylink::bench {

// Measures, over real links on loopback inside this process,
//  - how long a configuration version takes from its acceptance until it is in force on all of 7 instances, also with
//    the store down after the acceptance, against a spread by heartbeats alone;
//  - what membership costs each instance of fleets of several sizes: bytes a second, processor time and memory. The
//    baseline is the first size.
// Prints one line for each measure, as JSON objects or as text. The seed selects the declarations and the proposing
// instances. True when all limits are met.
bool measureSpread(std::uint64_t seed, bool json, std::ostream&, const std::vector<int>& sizes = { 7, 24 });

} // namespace rosemarylink::bench
