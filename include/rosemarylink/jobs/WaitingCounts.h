#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/jobs/Job.h"
#include "rosemarylink/jobs/JobMetrics.h"
#include "rosemarylink/jobs/RecordStore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rosemarylink::jobs {

// Counts the jobs of queues that have no started task. Callers that ask at the same time, or within a second, share one
// list of the store, because it grows with the number of waiting jobs. A list that throws, gets no response within a
// limit or gets two does not keep later callers from their count. Must be used on the event loop's thread.
class WaitingCounts {
public:
    // Takes the number of jobs, or nullopt if it could not be read.
    using Handler = std::function<void(std::optional<std::size_t>)>;

    WaitingCounts(RecordStore&, const Clock&, JobMetrics&);

    // Calls the handler at most once, possibly before it returns. It is not called if the list gets no response and
    // nobody asks again.
    void count(const QueueId&, const Handler&);

private:
    struct Count {
        std::vector<Handler> waiting; // for the list that is on its way, if not empty
        std::uint64_t list = 0; // number of the last list that was sent
        Milliseconds listSentAt { 0 };
        std::optional<Milliseconds> requestedAt; // of the last complete list
        std::size_t jobs = 0; // in that list
    };

    void sendList(const QueueId&);
    void handleList(const QueueId&, std::uint64_t list, const StoreResponse&);
    void fail(const QueueId&, const char* cause);
    void notify(Count&, std::optional<std::size_t> jobs);

    RecordStore& store_;
    const Clock& clock_;
    JobMetrics& metrics_;
    std::map<QueueId, Count> counts_;
};

} // namespace rosemarylink::jobs
