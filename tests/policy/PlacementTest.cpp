#include "PolicyFixture.h"

#include <catch2/catch.hpp>

#include <set>

namespace rosemarylink::policy {
namespace {

    using namespace testing;

    TEST_CASE("every policy places all tasks of a gang in one rack")
    {
        const std::string name = GENERATE("default", "fifo", "backfill");
        auto policy = makeFleetPolicy(name, 3, 8);
        REQUIRE(policy->submit(makeJob("a", 40, model::Adjacency::Rack), at(0)));
        const Decisions decisions = policy->decide(at(0));
        REQUIRE(decisions.starts.size() == 1);
        std::set<std::string> racks;
        for (const WorkerId& worker : decisions.starts.front().placement.workers)
            racks.insert(worker.value().substr(0, worker.value().find('-')));
        CHECK(decisions.starts.front().placement.workers.size() == 40);
        CHECK(racks.size() == 1);
    }

    TEST_CASE("a gang that fits into no rack is refused at submission with the reason")
    {
        auto policy = makeFleetPolicy("default", 3, 8);
        const auto admission = policy->submit(makeJob("a", 65, model::Adjacency::Rack), at(0));
        REQUIRE(!admission);
        CHECK(admission.error().code == ErrorCode::InvalidArgument);
        CHECK(admission.error().message.find("does not fit on the empty fleet") != std::string::npos);
        CHECK(policy->submit(makeJob("b", 65, model::Adjacency::NeighbouringRacks), at(0)));
    }

} // namespace
} // namespace rosemarylink::policy
