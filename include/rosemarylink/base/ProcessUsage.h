#pragma once

#include "rosemarylink/base/Metrics.h"

namespace rosemarylink {

// Sets the gauges process_cpu_seconds and process_resident_bytes to the current values of this process. Call it before
// each export of the metrics.
void exportProcessUsage(MetricsRegistry&);

} // namespace rosemarylink
