#include "rosemarylink/base/ProcessUsage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace rosemarylink {

namespace {

    double seconds(const timeval& time)
    {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    }

} // namespace

void exportProcessUsage(MetricsRegistry& metrics)
{
    rusage usage {};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        metrics.gauge("process_cpu_seconds", "Processor time of this process, user and system.")
            .set(seconds(usage.ru_utime) + seconds(usage.ru_stime));
    }
    std::ifstream statm("/proc/self/statm");
    std::int64_t totalPages = 0;
    std::int64_t residentPages = 0;
    if (statm >> totalPages >> residentPages) {
        metrics.gauge("process_resident_bytes", "Memory of this process that is resident.")
            .set(static_cast<double>(residentPages * sysconf(_SC_PAGESIZE)));
    }
}

} // namespace rosemarylink
