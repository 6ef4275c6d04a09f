#pragma once

#include "rosemarylink/base/Units.h"
#include "rosemarylink/jobs/JobProgress.h"

#include <optional>
#include <string>
#include <utility>

namespace rosemarylink::jobs::internal {

using RunKey = std::pair<TaskKey, int>; // a task and the number of its run

// A run that occupies resources of a worker, from its start command until its end is known.
struct WorkerRun {
    Resources resources;
    TaskPhase phase = TaskPhase::Starting;
    int priority = 0; // of its job
    Milliseconds startedAt { 0 };
    std::optional<Milliseconds> expectedEndAt; // absent if the task runs until its job is cancelled
    std::string checkpoint; // from which the run starts
    bool adopted = false; // was started by a previous owner
    int startAttempts = 0; // start commands sent for this run
    std::optional<Milliseconds> startSentAt; // when the last of them was sent; absent if by a previous owner
    // Until then, an unanswered start command for this run may still be executed; absent if none is unanswered.
    std::optional<Milliseconds> strayStartUntil;
    // When the first confirmation of the run by the worker was received. A report that was requested later was made
    // after the run's start, whatever responses have overtaken each other.
    std::optional<Milliseconds> confirmedAt;
    std::optional<Milliseconds> confirmedClock; // reading of the worker's clock when it first confirmed the run
    bool listsEnd = false; // the worker's process has accepted or reported the run, so that it will list its end
    std::optional<Milliseconds> stopAcceptedAt; // when the worker accepted the stop; the run cannot start afterwards
    std::optional<Milliseconds> stopAcceptedClock; // reading of the worker's clock at that time or later
    // When the first report was received that was made so long after the stop, on the worker's clock, that its end must
    // have been listed.
    std::optional<Milliseconds> stopOverAt;
    Milliseconds stopSentAt { 0 };

    // Progress in the report from which the run's pace is measured next, and the worker's clock in it. Absent until the
    // run is known to work.
    std::optional<Milliseconds> paceFrom;
    int pacePercent = 0;
    bool paceInterrupted = false; // the run was slow for a while for a reason other than its worker
    std::optional<Milliseconds> paceDuration; // that the run would take in all at its latest pace

    // Notes that the worker's process has accepted or reported the run.
    void noteListsEnd()
    {
        if (!std::exchange(listsEnd, true))
            stopOverAt.reset();
    }

    // Whether no command has been sent for it yet.
    bool isQueued() const { return phase == TaskPhase::Starting && startAttempts == 0 && !adopted && !confirmedAt; }
};

// A run that may have caused its worker's crash.
struct SuspectRun {
    RunKey key;
    bool confirmed = false; // the worker had confirmed its start
};

} // namespace rosemarylink::jobs::internal
