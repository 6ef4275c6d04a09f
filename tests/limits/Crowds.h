#pragma once

#include "Crowd.h"
#include "Submitters.h"

#include <map>
#include <string>
#include <vector>

namespace rosemarylink::limits {

// Clients of rosemarylink-edge without a key.
const std::map<std::string, std::vector<ClientScript> (*)()>& edgeCrowds();

// Callers of rosemarylink-edge with a key.
const std::map<std::string, SubmissionLoad (*)()>& submissionLoads();

// Clients of rosemarylink-gateway without a key, and clients that open instance links to it.
const std::map<std::string, std::vector<ClientScript> (*)()>& gatewayCrowds();
const std::map<std::string, std::vector<ClientScript> (*)()>& linkCrowds();

} // namespace rosemarylink::limits
