#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

// Load pattern: a part of the workers becomes several times slower than the others for a while. A gang is as slow as
// its slowest member, and its other members occupy their workers while they wait for that one, so that a few slow
// workers take the capacity of many. The slow workers look free again and again, because what is placed there is small
// or has just been stopped.
//
// The pace of a run is its progress between two reports of its worker, relative to what is expected of it: 1 if the run
// takes as long as expected, 0.25 if it takes four times as long.
namespace rosemarylink::jobs::internal {

// Expects the duration of a step's tasks from the progress of all of them. The tasks of a step resemble each other more
// than their declared duration resembles the true one, so that the median of several is the better measure.
class StepDurations {
public:
    // Notes that the task with this index would take `duration` in all at the pace of its present run.
    void observe(int index, Milliseconds duration);

    // Whether enough tasks have been observed for a median.
    bool known() const;

    // Returns the median if it is known, otherwise `predicted`.
    Milliseconds expected(Milliseconds predicted) const;

private:
    std::map<int, Milliseconds> durations_; // by task index
};

// What was last seen of a slow worker.
struct SlowWorker {
    double pace = 1;
    Milliseconds seenAt { 0 }; // on the owner's monotonic clock

    bool operator==(const SlowWorker& other) const { return pace == other.pace && seenAt == other.seenAt; }
};

// The workers that are slow. Usage:
//
//     paces.observe(worker, 0.2, now); // the best pace of the runs in one report
//     if (paces.find(worker, now)) ... // slow for the next `slowMemory`, unless a later report shows otherwise
//
// Memory grows with the number of slow workers only.
class WorkerPaces {
public:
    // A worker counts as slow below this pace. Tasks of one step differ by about 30%.
    static constexpr double slowPace = 0.45;

    // A worker that gets no work shows no pace, so that it counts as slow for this long after it was last seen so.
    static constexpr Milliseconds slowMemory { 15000 };

    // `pace` is the best one of the runs in one report of the worker. One run may be slow for a reason of its own.
    void observe(const WorkerId&, double pace, Milliseconds now);

    // Returns nullptr if the worker is not known to be slow.
    const SlowWorker* find(const WorkerId&, Milliseconds now) const;

    // For a worker that has started again.
    void forget(const WorkerId& worker) { slow_.erase(worker); }

    // Forgets what is older than `slowMemory`.
    void expire(Milliseconds now);

    bool empty() const { return slow_.empty(); }
    const std::map<WorkerId, SlowWorker>& slow() const { return slow_; }

    // Returns the stored form of at most `maximumStored` workers. `wallClock` is the time of day at `now`, by which the
    // reader learns how old the paces are.
    static constexpr std::size_t maximumStored = 1000;
    std::string record(Milliseconds now, Timestamp wallClock) const;

    // Adds what an earlier owner has stored. Fails with InvalidArgument for a malformed record, of which nothing is
    // used then.
    Status load(const std::string& record, Milliseconds now, Timestamp wallClock);

private:
    std::map<WorkerId, SlowWorker> slow_;
};

} // namespace rosemarylink::jobs::internal
