#pragma once

#include "PolicyProfile.h"

#include <set>
#include <string>
#include <vector>

namespace rosemarylink::bench {

enum class PolicyFault {
    Bursts,
    WrongSizes,
    FailingWorkers,
    CancelWaves,
    DomainLoss,
};

using PolicyFaults = std::set<PolicyFault>;

// Reads "none", "all" or the name of one fault; nothing for another name.
std::optional<PolicyFaults> parsePolicyFaults(const std::string&);

struct JobArrival {
    Timestamp at;
    model::JobSpec spec;
    Milliseconds runTime { 0 }; // the true one
    bool alwaysFails = false; // one of its tasks exits with an error in each run
};

enum class FleetEventKind {
    WorkerLost,
    WorkerReady,
    WorkerFailsTasks,
    WorkerRepaired,
    WorkerTrusted, // a policy may take this long to find out by probing
    CancelWave, // half of the unfinished jobs of one account
};

struct FleetEvent {
    Timestamp at;
    FleetEventKind kind;
    std::size_t worker = 0;
    AccountId account;
};

// All that happens in one run, in order of time; the same for every policy.
struct PolicyWorkload {
    std::vector<JobArrival> arrivals;
    std::vector<FleetEvent> events;
    Timestamp end; // of the arrivals
};

PolicyWorkload makePolicyWorkload(const PolicyProfile&, const PolicyFaults&, std::uint64_t seed);

} // namespace rosemarylink::bench
