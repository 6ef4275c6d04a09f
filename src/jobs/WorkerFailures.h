#pragma once

#include "rosemarylink/base/Units.h"

// Load pattern: some workers report to be well and fail, refuse or ignore a large part of what they start. Each such
// task costs a gang all of its members, and the worker is free again at once, so that it attracts the next one. A task
// may also fail by its own fault, which a few successes on the same worker show.
namespace rosemarylink::jobs::internal {

// How often a worker has failed what it was given lately. Older outcomes count less.
class WorkerFailures {
public:
    void addFailure(Milliseconds now) { add(failures_, now); }
    void addSuccess(Milliseconds now) { add(successes_, now); }

    // Whether the worker has failed at least twice recently, and more than a fifth of what it was given.
    bool isUnreliable(Milliseconds now) const;

private:
    void add(double& count, Milliseconds now);
    // The factor by which the counts have decayed since `updatedAt_`.
    double weightAt(Milliseconds now) const;

    double failures_ = 0; // as of `updatedAt_`, like the other count
    double successes_ = 0;
    Milliseconds updatedAt_ { 0 };
};

} // namespace rosemarylink::jobs::internal
