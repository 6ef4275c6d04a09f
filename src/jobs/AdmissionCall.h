#pragma once

#include "rosemarylink/jobs/Admission.h"

namespace rosemarylink::jobs {

namespace internal {

    // For one call to the store. A write takes 30 ms across regions and 300 ms when the store is slow.
    constexpr Milliseconds admissionStoreTimeout { 900 };

    // Delay before an attempt that the store refused or did not answer is retried.
    constexpr Milliseconds admissionRetryDelay { 150 };

} // namespace internal

// A request in progress.
struct Admission::Call {
    CallerRequest request;
    AdmissionHandler handler;
    Milliseconds startedAt { 0 };
    std::function<void()> retry; // the next attempt, while the call waits for it
    Timers::Id retryTimer = 0;
    Timers::Id limitTimer = 0; // ends the call when its time limit is reached
    bool finished = false;
    bool readOnly = false;
    bool writeInFlight = false;
    JobId job;
    AccountId account; // of the key; empty if it is unknown or absent
    QueueId queue;
    bool needsKey = true; // the queue does
    JobSpec spec; // of a submission
    std::size_t jobBytes = 0; // estimated memory of the job
    bool admitted = false; // is part of what the instance has accepted
    std::string rejection; // why the submission is invalid; empty if it is valid
    bool mayHaveRun = false; // a write got no response, and its effect is not known yet
    JobId unresolvedJob; // the job of that write, if it was a submission
    Revision configRevision { 0 }; // revision of the configuration in the last write's precondition
};

} // namespace rosemarylink::jobs
