#pragma once

#include <cstdint>
#include <iosfwd>

namespace rosemarylink::bench {

// Measures, over real links on loopback inside this process,
//  - how long a configuration version takes from its acceptance until it is in force on all of 7 instances, also with
//    the store down after the acceptance, against a spread by heartbeats alone;
//  - what membership costs each instance at 7, 14, 24 and 28 instances: bytes a second, processor time and memory.
// Prints one line for each measure, as JSON objects or as text. The seed selects the declarations and the proposing
// instances. True when all limits are met. Takes about 25 s.
bool measureSpread(std::uint64_t seed, bool json, std::ostream&);

} // namespace rosemarylink::bench
