#pragma once

#include <string>
#include <vector>

namespace rosemarylink::bench {

// Each command parses its own options, prints its results and returns the exit code of the process: 0 if all limits are
// met, 1 if a limit is missed or a measurement fails, 2 if the options are invalid or a server cannot be started.
int runPolicyCommand(const std::vector<std::string>& arguments);
int runStateCommand(const std::vector<std::string>& arguments);
int runRequestsCommand(const std::vector<std::string>& arguments);

} // namespace rosemarylink::bench
