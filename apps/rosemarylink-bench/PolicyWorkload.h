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

// Parses "none", "all" or the name of one fault. Gives nullopt for any other name.
std::optional<PolicyFaults> parsePolicyFaults(const std::string&);

struct JobArrival {
    Timestamp at;
    model::JobSpec spec;
    Milliseconds runTime { 0 }; // actual run time without interruptions
    bool alwaysFails = false; // a task exits with an error in every run
};

enum class FleetEventKind {
    WorkerLost,
    WorkerReady,
    WorkerFailsTasks,
    WorkerRepaired,
    WorkerEligible, // guarantees are checked on the worker again, after time for the policy to probe it
    CancelWave, // cancels half of the unfinished jobs of one account
};

struct FleetEvent {
    Timestamp at;
    FleetEventKind kind;
    std::size_t worker = 0;
    AccountId account;
};

// All arrivals and fleet events of one run in order of time. Independent of the policy.
struct PolicyWorkload {
    std::vector<JobArrival> arrivals;
    std::vector<FleetEvent> events;
    Timestamp end; // of the arrivals
};

PolicyWorkload makePolicyWorkload(const PolicyProfile&, const PolicyFaults&, std::uint64_t seed);

} // namespace rosemarylink::bench
