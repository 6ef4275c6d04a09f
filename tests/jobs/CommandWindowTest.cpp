#include "CommandWindow.h"
#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

// Guards against a collapse on a slow link: all start commands of a burst were sent together, their responses came
// after the time-out, and the repeated and stopped runs loaded the link further (found with bench setup
// tidyroom-jo-large, the small twins of its days, whose machines have 2 Mbit/s).
TEST_CASE("the number of start commands on their way falls while responses are slow and rises again")
{
    internal::CommandWindow window;
    const int initial = window.limit();
    Milliseconds now { 0 };
    const auto respond = [&](Milliseconds responseTime) {
        for (int number = 0; number < 200; ++number) {
            while (window.hasSpace())
                window.sent();
            now += Milliseconds(10);
            window.responded(now, responseTime);
        }
    };
    respond(Milliseconds(500));
    CHECK(window.limit() < initial / 8);
    const int lowered = window.limit();
    CHECK(lowered >= 1);
    respond(Milliseconds(20));
    CHECK(window.limit() > lowered + 100);
}

// Guards against an owner whose start commands take all descriptors of its process.
TEST_CASE("the number of start commands on their way stays below the limit of the process")
{
    internal::CommandWindow window(20);
    for (int number = 0; number < 5000; ++number) {
        while (window.hasSpace())
            window.sent();
        window.responded(Milliseconds(number * 10), Milliseconds(20));
    }
    CHECK(window.limit() == 20);
    CHECK(startCommandsFor(600) == 150);
    CHECK(startCommandsFor(4100) == defaultStartCommands);
    CHECK(startCommandsFor(0) == defaultStartCommands);
}

// Guards against pacing a healthy fleet for a few workers that are always slow or unreachable.
TEST_CASE("a fifth of slow responses does not lower the number of start commands on their way")
{
    internal::CommandWindow window;
    const int initial = window.limit();
    for (int number = 0; number < 500; ++number) {
        window.sent();
        window.responded(Milliseconds(number * 20), Milliseconds(number % 5 == 0 ? 500 : 20));
    }
    CHECK(window.limit() >= initial);
}

// Guards against tasks that are lost between being placed and being commanded, and against starting cancelled ones.
TEST_CASE("tasks that wait for their start command are started in turn or dropped with their job")
{
    SimCluster cluster(1);
    cluster.addWorkers(8, 8);
    cluster.world.run(Milliseconds(1500));
    cluster.submit("batch", "wide", oneStep(500, 1, Milliseconds(1000), /*gang=*/false));
    cluster.submit("batch", "dropped", oneStep(60, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(5));
    cluster.cancel("batch", "dropped");
    cluster.world.run(Milliseconds(10000));
    CHECK(cluster.storedState("wide") == JobState::Completed);
    CHECK(cluster.storedState("dropped") == JobState::Cancelled);
    CHECK(cluster.fleet.startsOf(JobId("wide")) == 500);
    CHECK(cluster.fleet.running() == 0);
    CHECK(cluster.fleet.violations().empty());
}

// Guards against giving up tasks that wait for their start command on workers that were idle: no lease of an idle
// worker is valid, and the queued runs counted as lost with it.
TEST_CASE("tasks on idle workers that wait for their start command are not lost")
{
    SimCluster cluster(1);
    cluster.addWorkers(8, 8);
    cluster.world.run(Milliseconds(10000));
    cluster.fleet.lostCommandResponseShare = 1; // keeps the window full for the commands' time-out
    cluster.submit("batch", "wide", oneStep(400, 1, Milliseconds(3000), /*gang=*/false));
    cluster.world.run(Milliseconds(400));
    cluster.fleet.lostCommandResponseShare = 0;
    cluster.world.run(Milliseconds(15000));
    CHECK(cluster.instances[0]->metrics.lostRuns.value() == 0);
    CHECK(cluster.fleet.startsOf(JobId("wide")) == 400);
    CHECK(cluster.storedState("wide") == JobState::Completed);
}

} // namespace rosemarylink::jobs
