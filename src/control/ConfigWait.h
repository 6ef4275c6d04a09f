#pragma once

#include "Command.h"

namespace rosemarylink::control::internal {

// Polls until a version is in force everywhere, reporting on the instances that are behind. Gateways that cannot be
// reached meanwhile are asked again. Ends with TimedOut after the setting wait-timeout; the version stays accepted.
Outcome<api::InForceView> waitUntilInForce(CommandContext&, ConfigVersion);

} // namespace rosemarylink::control::internal
