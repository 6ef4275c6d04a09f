#pragma once

#include "rosemarylink/base/Metrics.h"

namespace rosemarylink {

// Sets the gauges process_cpu_seconds and process_resident_bytes from what the operating system reports.
void exportProcessUsage(MetricsRegistry&);

} // namespace rosemarylink
