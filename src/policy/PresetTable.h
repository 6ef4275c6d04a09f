#pragma once

#include "rosemarylink/generated/Model.h"

namespace rosemarylink::policy::internal {

// What a preset sets. There are no other knobs.
struct PresetRules {
    double urgentFactor = 1; // on the order of urgent jobs
    double lendingShare = 1; // most of all accelerators that may be in use as borrowed
    bool movesWork = true; // stops borrowed work to make room for large gangs
    bool drainsRacks = false; // no new long work on racks with a worker that leaves
};

const PresetRules& presetRules(model::Preset);

} // namespace rosemarylink::policy::internal
