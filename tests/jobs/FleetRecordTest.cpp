#include "FleetRecord.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs::internal {

// Guards against a new owner that does not learn what its predecessor stored about a worker.
TEST_CASE("a fleet record is read as it was written")
{
    FleetRecord record;
    record.workers = { WorkerId("a"), WorkerId("b"), WorkerId("c") };
    record.silent[WorkerId("b")] = { Milliseconds(1200), std::set<JobId> { JobId("j") } };
    record.lateCalls[WorkerId("b")] = Milliseconds(9000);
    record.lateCalls[WorkerId("c")] = Milliseconds(500);
    const auto read = parseFleetRecord(fleetRecordText(record));
    REQUIRE(read);
    CHECK(read->workers == record.workers);
    CHECK(read->silent == record.silent);
    CHECK(read->lateCalls == record.lateCalls);
}

// Guards against a takeover that fails, or forgets the other workers, because of one entry.
TEST_CASE("a malformed entry of a fleet record does not hide the others")
{
    const auto read = parseFleetRecord(
        R"(["a",{"lateCallsMs":"soon","worker":"a"},{"lateCallsMs":7},{"worker":"b","jobs":[]},"b",5])");
    REQUIRE(read);
    CHECK(read->workers == std::set<WorkerId> { WorkerId("a"), WorkerId("b") });
    CHECK(read->lateCalls.empty());
    CHECK(read->silent.count(WorkerId("b")) == 1);
}

} // namespace rosemarylink::jobs::internal
