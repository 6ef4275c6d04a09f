#include "AllocationMeter.h"
#include "FakeCluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rosemarylink::policy {
namespace {

    using namespace testing;
    using model::Adjacency;

    // A policy may take this much for each worker, job, task of a job and task of a guaranteed gang. The owner's budget
    // for a worker with its tasks is 26 KB; see docs/CAPACITY.md.
    constexpr std::size_t bytesForEach = 2048;
    constexpr std::size_t bytesForAll = 64 * 1024;

    // Stops a decision without a bound.
    constexpr std::size_t meterLimit = 512UL * 1024 * 1024;

    constexpr std::int64_t mostTasks = 128; // of a gang; see schema/model.json
    constexpr int workersPerRack = 8;

    // Tasks that fit on a worker in any number or by the thousand, or that fill it.
    model::Resources drawDemand()
    {
        const auto draw = [] { return *rc::gen::element<std::int64_t>(0, 0, 0, 1); };
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            return {};
        case 1:
            return resources(draw(), draw(), draw());
        default:
            return resources(32, 64000, 8);
        }
    }

    Adjacency drawAdjacency()
    {
        return *rc::gen::element(Adjacency::Worker, Adjacency::Rack, Adjacency::NeighbouringRacks, Adjacency::Region);
    }

    PolicyConfig drawConfig(int shapes)
    {
        PolicyConfig config = makeConfig(1);
        for (int number = 0; number < shapes; ++number) {
            model::GuaranteedShape shape
                = makeShape(*rc::gen::element<std::string>("moves", "quotes"), *rc::gen::inRange<std::int64_t>(1, 10),
                    *rc::gen::inRange<std::int64_t>(1, mostTasks + 1), drawAdjacency());
            shape.name = "shape-" + std::to_string(number);
            shape.perTask = drawDemand();
            config.declarations.guarantees.push_back(shape);
        }
        return config;
    }

    model::JobSpec drawJob(const std::string& id)
    {
        model::JobSpec job = makeJob(id, *rc::gen::inRange<std::int64_t>(1, mostTasks + 1), drawAdjacency());
        job.account = AccountId(*rc::gen::element<std::string>("moves", "quotes"));
        job.perTask = drawDemand();
        job.urgent = *rc::gen::arbitrary<bool>();
        job.checkpointable = *rc::gen::arbitrary<bool>();
        return job;
    }

} // namespace

// Guards against lists of places that are not bounded by the tasks, because a task without demands fits without limit,
// where work is placed, reserved, reclaimed or moved. The planner of the job pools had this fault (review/8).
TEST_CASE("the memory of a policy is bounded by workers, jobs and tasks, whatever the tasks demand")
{
    rc::prop("the memory of a policy is bounded", [] {
        const auto racks = *rc::gen::inRange<std::size_t>(1, 10);
        auto policy = makeFleetPolicy(
            *rc::gen::element<std::string>("default", "fifo", "backfill"), static_cast<int>(racks), workersPerRack);
        const PolicyConfig config = drawConfig(*rc::gen::inRange(0, 3));
        std::vector<std::vector<model::JobSpec>> rounds(3);
        std::size_t count = racks * workersPerRack;
        for (const model::GuaranteedShape& shape : config.declarations.guarantees)
            count += static_cast<std::size_t>(shape.gangs * shape.tasks);
        for (std::size_t round = 0; round < rounds.size(); ++round) {
            const int jobs = *rc::gen::inRange(1, 8);
            for (int number = 0; number < jobs; ++number) {
                rounds[round].push_back(drawJob(std::to_string(round) + "-" + std::to_string(number)));
                count += static_cast<std::size_t>(rounds[round].back().tasks) + 1;
            }
        }
        const AllocationMeter meter(meterLimit);
        policy->configure(config, at(0)).value();
        for (std::size_t round = 0; round < rounds.size(); ++round) {
            const Timestamp now = at(60 * static_cast<std::int64_t>(round));
            for (const model::JobSpec& job : rounds[round]) {
                // Whether the policy accepts the job does not matter here.
                const auto admission = policy->submit(job, now);
                static_cast<void>(admission);
            }
            for (const StartDecision& start : policy->decide(now).starts)
                policy->gangStarted(start.job, now);
        }
        RC_ASSERT(meter.peakBytes() <= bytesForAll + bytesForEach * count);
    });
}

} // namespace rosemarylink::policy
