#include "SimFleet.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

// Guards against a simulation that throws, and stops a soak's simulated time, when a lease expires under two members of
// a gang on one worker.
TEST_CASE("a lease that expires ends all members of a gang on the worker")
{
    SimWorld world;
    SimStore store(world);
    SimFleet fleet(world, store, {});
    SimWorkerClient client(world, fleet);
    StepSpec step;
    step.taskCount = 2;
    step.perTask = { 1000, 1000, 1 };
    step.estimate = Milliseconds(60000);
    step.gang = true;
    JobSpec job;
    job.id = JobId("0123456789abcdef");
    job.steps = { step };
    fleet.registerJob(job);
    const WorkerId worker("w");
    fleet.add(worker, "r", { 4000, 4000, 4 });
    for (int index = 0; index < step.taskCount; ++index) {
        client.start(fleet.entry(worker), { TaskKey { job.id, 0, 0, index }, 1, "", "" }, Milliseconds(4000),
            FencingToken(1), [](const CommandResponse&) {});
    }
    world.run(Milliseconds(100));
    REQUIRE(fleet.runningOn(worker) == step.taskCount);

    CHECK_NOTHROW(world.run(Milliseconds(10000)));

    CHECK(fleet.runningOn(worker) == 0);
}

} // namespace rosemarylink::jobs
