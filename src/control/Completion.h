#pragma once

#include <string>

namespace rosemarylink::control::internal {

// Returns a bash script that completes commands, options and fixed argument values of rosemarylinkctl.
std::string bashCompletion();

} // namespace rosemarylink::control::internal
