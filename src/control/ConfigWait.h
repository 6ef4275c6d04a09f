#pragma once

#include "Command.h"

namespace rosemarylink::control::internal {

// Polls until a version is in force everywhere, and reports the instances that are behind. Retries when no gateway can
// be reached. Fails with TimedOut after the setting wait-timeout; the version remains accepted.
Outcome<api::InForceView> waitUntilInForce(CommandContext&, ConfigVersion);

} // namespace rosemarylink::control::internal
