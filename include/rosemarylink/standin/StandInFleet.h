#pragma once

#include "rosemarylink/generated/Model.h"
#include "rosemarylink/generated/SettingsStandin.h"

#include <string>
#include <vector>

namespace rosemarylink::standin {

// Returns the workers described by the settings, distributed evenly over regions and failure domains. Within a failure
// domain the racks are filled one after the other.
std::vector<model::WorkerSpec> makeWorkers(const settings_standin::StandInSettings&);

// Returns the upstreams described by the settings. The address is the IP:port of the stand-in, which serves each
// upstream under its own path.
std::vector<model::UpstreamSpec> makeUpstreams(const settings_standin::StandInSettings&, const std::string& address);

} // namespace rosemarylink::standin
