#include "PresetRules.h"

namespace rosemarylink::policy::internal {

namespace {

    constexpr PresetRules ordinary { 1, 1, true, false };
    constexpr PresetRules peak { 4, 0.6, false, false };
    constexpr PresetRules maintenance { 1, 1, true, true };

} // namespace

const PresetRules& presetRules(model::Preset preset)
{
    switch (preset) {
    case model::Preset::Ordinary:
        return ordinary;
    case model::Preset::Peak:
        return peak;
    case model::Preset::Maintenance:
        return maintenance;
    }
    return ordinary;
}

} // namespace rosemarylink::policy::internal
