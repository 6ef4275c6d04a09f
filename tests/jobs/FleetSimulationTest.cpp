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

// Guards against a paused worker of the simulation that goes on with its runs or answers, so that no test meets one.
TEST_CASE("a paused worker answers nothing and ends no run, but for the end of its lease")
{
    SimWorld world;
    SimStore store(world);
    SimFleet fleet(world, store, {});
    SimWorkerClient client(world, fleet);
    JobSpec job;
    job.id = JobId("0123456789abcdef");
    job.steps.resize(1);
    job.steps[0].taskCount = 2;
    job.steps[0].perTask = { 1000, 1000, 1 };
    job.steps[0].estimate = Milliseconds(1000);
    fleet.registerJob(job);
    const WorkerId worker("w");
    fleet.add(worker, "r", { 4000, 4000, 4 });
    int answers = 0;
    const auto count = [&answers](const CommandResponse&) { ++answers; };
    const TaskKey first { job.id, 0, 0, 0 };
    const TaskKey second { job.id, 0, 0, 1 };
    client.start(fleet.entry(worker), { first, 1, "", "" }, Milliseconds(5000), FencingToken(1), count);
    client.start(fleet.entry(worker), { second, 1, "", "" }, Milliseconds(5000), FencingToken(1), count);
    world.run(Milliseconds(800));
    client.stop(fleet.entry(worker), second, 1, FencingToken(1), count);
    world.run(Milliseconds(100));
    REQUIRE(answers == 3);
    const Milliseconds pause(GENERATE(1500, 8000));

    fleet.standStill(worker, pause, Milliseconds(0));
    client.stop(fleet.entry(worker), first, 1, FencingToken(1), count);
    world.run(Milliseconds(1400));
    CHECK(answers == 3);
    CHECK(fleet.runningOn(worker) == 2);

    world.run(Milliseconds(4000));
    CHECK(fleet.runningOn(worker) == 0);
    CHECK(answers == (pause < Milliseconds(5000) ? 4 : 3));
}

} // namespace rosemarylink::jobs
