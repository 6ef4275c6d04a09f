#pragma once

#include "rosemarylink/generated/Model.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemarylink::bench {

// The state of the simulated workers: what is in use, which workers are lost and which fail their tasks. Shares no code
// with the policies, so that it can check them independently.
class PolicyFleet {
public:
    explicit PolicyFleet(const std::vector<model::WorkerSpec>&);

    std::size_t indexOf(const WorkerId& id) const { return indices_.at(id.value()); }
    const model::WorkerSpec& spec(std::size_t worker) const { return workers_[worker].spec; }
    bool isLost(std::size_t worker) const { return workers_[worker].lost; }
    void setLost(std::size_t worker, bool lost) { workers_[worker].lost = lost; }
    bool failsTasks(std::size_t worker) const { return workers_[worker].failsTasks; }
    void setFailsTasks(std::size_t worker, bool fails) { workers_[worker].failsTasks = fails; }

    void setEligible(std::size_t worker, bool eligible) { workers_[worker].eligible = eligible; }

    void allocate(const std::vector<std::size_t>& gang, const model::Resources& perTask);
    void release(const std::vector<std::size_t>& gang, const model::Resources& perTask);

    // Whether no worker of the gang is lost or has more in use than its capacity.
    bool isWithinCapacity(const std::vector<std::size_t>& gang) const;
    bool isAdjacent(const std::vector<std::size_t>& gang, model::Adjacency) const;
    // The workers on which guarantees are checked: neither lost nor failing, nor repaired too recently.
    std::vector<model::WorkerSpec> eligibleWorkers() const;

    // The share of the free accelerators, 0 to 1, that gangs of this shape could use if adjacency did not matter, but
    // cannot use.
    double fragmentation(const model::JobSpec& gang) const;

private:
    struct Worker {
        model::WorkerSpec spec;
        model::Resources used;
        std::size_t rack = 0; // racks of one failure domain are numbered in order of their names
        std::size_t domain = 0;
        bool lost = false;
        bool failsTasks = false;
        bool eligible = true; // counts for the checks of guarantees
    };
    std::int64_t tasksThatFit(const Worker&, const model::Resources& perTask) const;
    std::int64_t usableGangs(const std::vector<std::int64_t>& fits, const model::JobSpec&) const;

    std::vector<Worker> workers_;
    std::unordered_map<std::string, std::size_t> indices_;
    std::vector<std::size_t> domainOfRack_;
};

} // namespace rosemarylink::bench
