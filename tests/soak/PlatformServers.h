#pragma once

#include "SimFleet.h"
#include "rosemarylink/reactor/LoopHttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace rosemarylink::soak {

// The fault of the store that harms commits with changes only; reads, leases and preconditions are served.
struct WriteFault {
    double share = 0; // of these commits
    bool progressOnly = false; // harms only the progress that an owner writes
    bool loseAnswers = false;
    Milliseconds executionDelay { 0 };
    Milliseconds answerDelay { 0 };
};

// Returns the value that a reader of the store gets for the record.
using RecordView = std::function<std::string(const jobs::Record&)>;

// Serves a simulated store in the platform's protocol on a free port of 127.0.0.1, with the records as `view` returns
// them. The fault may change meanwhile. Throws if it cannot listen.
std::unique_ptr<reactor::LoopHttpServer> serveStore(
    reactor::EventLoop&, jobs::SimStoreClient&, const WriteFault&, const RecordView& view);

// Serves one simulated worker in the platform's protocol on a free port of 127.0.0.1. Throws if it cannot listen.
std::unique_ptr<reactor::LoopHttpServer> serveWorker(
    reactor::EventLoop&, jobs::SimWorkerClient&, const jobs::WorkerEntry&);

// Formats a worker's entry as the platform stores it.
std::string platformEntry(const jobs::WorkerEntry&, const std::string& address);

// Formats the body of a job submission.
std::string platformJob(const jobs::JobSpec&);

} // namespace rosemarylink::soak
