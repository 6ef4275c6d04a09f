#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <memory>

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

} // namespace rosemarylink::jobs
