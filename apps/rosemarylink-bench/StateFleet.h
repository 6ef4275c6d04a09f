#pragma once

// The measurements run the real controller over the fakes of its tests, which count calls and bytes.
#include "../../tests/state/CellHarness.h"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace rosemarylink::bench {

// The size to design for in two years.
constexpr std::int64_t cellCount = 4;
constexpr std::int64_t fleetWorkers = 1400;
constexpr std::int64_t fleetTasks = 13000;
constexpr std::int64_t coresPerWorker = 10; // 13,000 tasks of one core take 93% of the fleet

// Gangs of 1 to 128 tasks with the given sum.
std::vector<model::JobSpec> makeJobs(std::int64_t tasks, std::uint64_t seed, const std::string& prefix);

// One cell with some schedulers, its owner and running jobs.
std::unique_ptr<state::fakes::CellHarness> makeCell(std::int64_t workers, int schedulers, std::uint64_t seed);

// Submits until all jobs are accepted, as callers do that heed the time to wait. Counts refused tries.
void submitAll(state::fakes::CellHarness&, const std::vector<model::JobSpec>&);

} // namespace rosemarylink::bench
