#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace rosemarylink::jobs {

namespace {

    // From the start of an instance until it owns the pools and has read the store and the workers.
    constexpr Milliseconds startTime { 3000 };

    // A cluster of one instance, whose calls fail as the test demands.
    struct FaultyCluster {
        FaultyCluster()
            : instance(*cluster.instances.front())
        {
            cluster.world.ignoresExceptions = true;
            cluster.addWorkers(2, 4);
        }

        void run(Milliseconds duration) { cluster.world.run(duration); }

        // Lets the next `times` calls of this kind for the key fail.
        void failStoreCalls(StoreCall call, const std::string& key, CallFault fault, int times = 1)
        {
            instance.faultyStore.faultFor
                = [call, key, fault, left = std::make_shared<int>(times)](StoreCall made, const std::string& madeFor) {
                      return made == call && madeFor == key && (*left)-- > 0 ? fault : CallFault::None;
                  };
        }

        SimCluster cluster { 1 };
        SimInstance& instance;
    };

} // namespace

// Guards against an owner that no longer notices leases that have expired, because its tick ended with an exception.
TEST_CASE("runs of an unresponsive worker start elsewhere although the owner's tick has thrown an exception")
{
    FaultyCluster faulty;
    faulty.run(startTime);
    faulty.failStoreCalls(StoreCall::Commit, keys::fleet, CallFault::Throws);
    faulty.cluster.fleet.setEntry(WorkerId("w1-3"), /*listed=*/false); // the tick removes it and stores the fleet
    faulty.run(Milliseconds(2000));
    JobSpec job = oneStep(8, 8, Milliseconds(2000), /*gang=*/false);
    faulty.cluster.submit("batch", "a", job);
    faulty.run(Milliseconds(500));
    REQUIRE(faulty.cluster.fleet.runningOn(WorkerId("w0-0")) > 0);
    faulty.cluster.fleet.silent = { WorkerId("w0-0") };
    faulty.run(Milliseconds(15000));
    CHECK(faulty.cluster.storedState("a") == JobState::Completed);
}

} // namespace rosemarylink::jobs
