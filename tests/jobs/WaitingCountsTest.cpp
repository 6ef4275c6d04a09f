#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace rosemarylink::jobs {

// Guards against callers that are never told the number of waiting jobs again, because one list of them failed.
TEST_CASE("waiting jobs are counted although an earlier list of them threw, got no response or two")
{
    const CallFault fault = GENERATE(CallFault::Throws, CallFault::NoResponse, CallFault::TwoResponses);
    CAPTURE(fault);
    SimCluster cluster(1);
    cluster.world.run(Milliseconds(3000));
    REQUIRE(cluster.submit("batch", "a", oneStep(1, 1, Milliseconds(500), /*gang=*/false)).outcome
        == AdmissionOutcome::Accepted);
    SimInstance& instance = *cluster.instances.front();
    int lists = 0;
    instance.faultyStore.faultFor = [fault, &lists](StoreCall call, const std::string& key) {
        const bool counts = call == StoreCall::List && key == keys::waitingPrefix(QueueId("batch"));
        return counts && lists++ == 0 ? fault : CallFault::None;
    };
    int responses = 0;
    const AdmissionHandler countResponse = [&responses](const AdmissionResponse&) { ++responses; };
    instance.admission.query({ "host", "/batch/", "key", Milliseconds(3000) }, countResponse);
    instance.admission.query({ "host", "/batch/", "key", Milliseconds(3000) }, countResponse);
    cluster.world.run(Milliseconds(11000));
    CHECK(responses == 2);
    const AdmissionResponse later = cluster.query("batch", "");
    CHECK(later.outcome == AdmissionOutcome::Accepted);
    CHECK(later.pending == std::size_t(1));
    CHECK(instance.admission.inProgress() == 0);
    CHECK(lists <= 3);
}

// Guards against a queue that reports no waiting jobs while none of its jobs has begun, because they count as active as
// soon as their starts are queued (review/8 of commit 37ab974).
TEST_CASE("jobs whose starts reach no worker are counted as waiting")
{
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    constexpr int jobs = 6;
    const WorkerId worker("w0-0");
    cluster.fleet.silent = { worker }; // the owner does not know it yet
    for (int number = 0; number < jobs; ++number) {
        REQUIRE(
            cluster
                .submit("batch", "a" + std::to_string(number), oneStep(1, 1, Milliseconds(1000), /*gang=*/number == 0))
                .outcome
            == AdmissionOutcome::Accepted);
    }
    for (int second = 0; second < 4; ++second) {
        cluster.world.run(Milliseconds(1000));
        CHECK(cluster.query("batch", "").pending == std::size_t(jobs));
        CHECK(cluster.query("batch", "a0").state == JobState::Queued);
    }
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 0);
    cluster.fleet.silent.clear();
    cluster.world.run(Milliseconds(30000));
    for (int number = 0; number < jobs; ++number)
        CHECK(cluster.storedState("a" + std::to_string(number)) == JobState::Completed);
    CHECK(cluster.query("batch", "").pending == std::size_t(0));
    CHECK(cluster.fleet.violations().empty());
}

// Guards against jobs that are counted as waiting although they run, because the response to each start is lost, or
// because a process that knows only the stored record has taken over.
TEST_CASE("a job that a worker has accepted or reported is not counted as waiting")
{
    const bool responsesLost = GENERATE(false, true);
    CAPTURE(responsesLost);
    SimCluster cluster(1);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(3000));
    cluster.fleet.lostCommandResponseShare = responsesLost ? 1 : 0;
    cluster.submit("batch", "a", oneStep(4, 1, Milliseconds(60000), /*gang=*/true));
    cluster.submit("batch", "b", oneStep(2, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(2500));
    CHECK(cluster.query("batch", "").pending == std::size_t(0));
    CHECK(cluster.storedState("a") == JobState::Active);
    cluster.fleet.lostCommandResponseShare = 0;
    cluster.currentOwner()->kill();
    cluster.addInstance();
    cluster.world.run(Milliseconds(6000));
    CHECK(cluster.query("batch", "", 1).pending == std::size_t(0));
    CHECK(cluster.fleet.violations().empty());
}

} // namespace rosemarylink::jobs
