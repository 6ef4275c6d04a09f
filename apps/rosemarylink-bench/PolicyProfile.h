#pragma once

#include "rosemarylink/generated/Model.h"

#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::bench {

// A kind of job that a profile generates.
struct JobKind {
    std::string name;
    double loadShare = 0; // part of the offered load of its resource
    std::vector<std::int64_t> tasks; // one is drawn evenly
    model::Resources perTask;
    std::vector<model::Adjacency> adjacency; // one is drawn evenly
    double minRunSeconds = 0; // run times are drawn log-uniformly
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
    std::size_t largeAccounts = 0; // the first accounts are the large ones
    double load = 0; // offered load as a share of the capacity
    double hours = 0; // during which jobs arrive
    bool startsFull = false; // the load of a running day is submitted at the start
    std::size_t failingWorkers = 0;

    model::Resources totalCapacity() const;
};

// The profiles "tidyroom", "frescura" and "scale"; nothing for another name. The sizeFactor shrinks "scale".
std::optional<PolicyProfile> makePolicyProfile(const std::string& name, double sizeFactor);

} // namespace rosemarylink::bench
