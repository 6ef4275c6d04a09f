#pragma once

// The measurements run the real cell controller on the fakes of its tests, which count calls and bytes.
#include "../../tests/state/CellHarness.h"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace rosemarylink::bench {

// The fleet size expected in two years.
constexpr std::int64_t cellCount = 4;
constexpr std::int64_t fleetWorkers = 1400;
constexpr std::int64_t fleetTasks = 13000;
constexpr std::int64_t coresPerWorker = 10; // 13,000 one-core tasks use 93% of the fleet's cores

// Jobs of 1 to 128 tasks each, `tasks` in total. Job ids start with the prefix.
std::vector<model::JobSpec> makeJobs(std::int64_t tasks, std::uint64_t seed, const std::string& prefix);

// A cell without jobs, owned by one of its schedulers. Throws std::runtime_error if none becomes the owner
// within 60 s of simulated time.
std::unique_ptr<state::fakes::CellHarness> makeCell(std::int64_t workers, int schedulerCount, std::uint64_t seed);

// Submits the jobs in order until all are accepted; a refused job is submitted again after the next step. Throws
// std::runtime_error after 600 s of simulated time.
void submitAll(state::fakes::CellHarness&, const std::vector<model::JobSpec>&);

} // namespace rosemarylink::bench
