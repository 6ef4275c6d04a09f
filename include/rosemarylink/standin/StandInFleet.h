#pragma once

#include "rosemarylink/generated/Model.h"
#include "rosemarylink/generated/SettingsStandin.h"

#include <string>
#include <vector>

namespace rosemarylink::standin {

// The workers that the settings describe, spread evenly over regions and failure domains and packed into racks.
std::vector<model::WorkerSpec> makeWorkers(const settings_standin::StandInSettings&);

// The upstreams that the settings describe; address is the stand-in's own IP:port and gets one path for each upstream.
std::vector<model::UpstreamSpec> makeUpstreams(const settings_standin::StandInSettings&, const std::string& address);

} // namespace rosemarylink::standin
