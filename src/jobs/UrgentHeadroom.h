#pragma once

#include "rosemarylink/base/Units.h"

#include <cstdint>

// Load pattern: urgent jobs of a few seconds arrive in bursts in a pool that other work fills. Without free capacity,
// other work takes what each urgent job releases and is preempted by the next one, which loses more work than the idle
// capacity costs.
namespace rosemarylink::jobs::internal {

// The accelerators of one pool to keep free for urgent work: its recent peak demand less its current demand.
class UrgentHeadroom {
public:
    // `demand` is what urgent work uses or waits for now, `capacity` that of the whole pool.
    std::int64_t update(Milliseconds now, std::int64_t demand, std::int64_t capacity);

private:
    double peak_ = 0; // decays over time
    Milliseconds updatedAt_ { 0 };
};

} // namespace rosemarylink::jobs::internal
