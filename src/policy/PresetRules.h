#pragma once

#include "rosemarylink/generated/Model.h"

namespace rosemarylink::policy::internal {

// The policy parameters that a preset selects. There are no other tuning parameters.
struct PresetRules {
    double urgentFactor = 1; // multiplies the score of urgent jobs in the queue order
    double maxBorrowedShare = 1; // largest share of all accelerators that may be borrowed, 0 to 1
    bool defragments = true; // whether borrowed work is stopped to make room for large or non-restartable gangs
    bool drainsRacks = false; // whether long work is kept off racks with a leaving worker
};

const PresetRules& presetRules(model::Preset);

} // namespace rosemarylink::policy::internal
