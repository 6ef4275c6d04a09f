#pragma once

#include "rosemarylink/generated/Model.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemarylink::bench {

// The workers as the simulation knows them: what is used, who is lost and who fails its tasks. It shares no code with
// the policies, so that it can judge them.
class PolicyFleetFake {
public:
    explicit PolicyFleetFake(const std::vector<model::WorkerSpec>&);

    std::size_t indexOf(const WorkerId& id) const { return indices_.at(id.value()); }
    const model::WorkerSpec& spec(std::size_t worker) const { return workers_[worker].spec; }
    bool isLost(std::size_t worker) const { return workers_[worker].lost; }
    void setLost(std::size_t worker, bool lost) { workers_[worker].lost = lost; }
    bool failsTasks(std::size_t worker) const { return workers_[worker].failsTasks; }
    void setFailsTasks(std::size_t worker, bool fails) { workers_[worker].failsTasks = fails; }

    void setTrusted(std::size_t worker, bool trusted) { workers_[worker].trusted = trusted; }

    void take(const std::vector<std::size_t>& gang, const model::Resources& perTask);
    void give(const std::vector<std::size_t>& gang, const model::Resources& perTask);

    // Whether no worker of the gang is lost or has more in use than it has.
    bool isSound(const std::vector<std::size_t>& gang) const;
    bool isAdjacent(const std::vector<std::size_t>& gang, model::Adjacency) const;
    // The workers that can run tasks: neither lost nor failing, nor only just repaired.
    std::vector<model::WorkerSpec> soundWorkers() const;

    // Share of the free accelerators that the gang could use if adjacency did not matter, but cannot use.
    double fragmentation(const model::JobSpec& gang) const;

private:
    struct Worker {
        model::WorkerSpec spec;
        model::Resources used;
        std::size_t rack = 0; // racks of one failure domain are numbered in order of their names
        std::size_t domain = 0;
        bool lost = false;
        bool failsTasks = false;
        bool trusted = true;
    };
    std::int64_t tasksThatFit(const Worker&, const model::Resources& perTask) const;
    std::int64_t usableGangs(const std::vector<std::int64_t>& fits, const model::JobSpec&) const;

    std::vector<Worker> workers_;
    std::unordered_map<std::string, std::size_t> indices_;
    std::vector<std::size_t> domainOfRack_;
};

} // namespace rosemarylink::bench
