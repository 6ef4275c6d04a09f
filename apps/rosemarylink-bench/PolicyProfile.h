#pragma once

#include "rosemarylink/generated/Model.h"

#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::bench {

// A kind of job that a profile generates.
struct JobKind {
    std::string name;
    double loadShare = 0; // share of the offered load on its resource, 0 to 1
    std::vector<std::int64_t> tasks; // drawn uniformly
    model::Resources perTask;
    std::vector<model::Adjacency> adjacency; // drawn uniformly
    double minRunSeconds = 0; // run times are log-uniform between the minimum and the maximum
    double maxRunSeconds = 0;
    double worth = 1;
    bool urgent = false;
    bool idempotent = true;
    double checkpointableShare = 0;
    bool largeAccountsOnly = false;
};

struct PolicyProfile {
    std::string name;
    std::vector<model::WorkerSpec> workers;
    model::Declarations declarations;
    std::vector<JobKind> kinds;
    std::size_t largeAccounts = 0; // number of large accounts, which come first in the declarations
    double load = 0; // offered load as a share of the capacity
    double hours = 0; // duration of the arrivals
    bool startsFull = false; // jobs for a steady load are submitted at the start
    std::size_t failingWorkers = 0;

    model::Resources totalCapacity() const;
};

// Gives the profile "tidyroom", "frescura" or "scale", or nullopt for any other name. sizeFactor scales the number of
// workers of "scale".
std::optional<PolicyProfile> makePolicyProfile(const std::string& name, double sizeFactor);

} // namespace rosemarylink::bench
