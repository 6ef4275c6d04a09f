#include "PolicyFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

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

    // Guards against lists of places that are not bounded by the gang's tasks, because a task without demands fits
    // without limit. The planner of the job pools had this fault (review/8).
    TEST_CASE("a gang has one worker for each task, whatever its tasks demand")
    {
        rc::prop("one worker for each task", [] {
            const std::string name = *rc::gen::element<std::string>("default", "fifo", "backfill");
            const auto adjacency = *rc::gen::element(model::Adjacency::Worker, model::Adjacency::Rack,
                model::Adjacency::NeighbouringRacks, model::Adjacency::Region);
            auto policy = makeFleetPolicy(name, 3, 8);
            model::JobSpec job = makeJob("a", *rc::gen::inRange<std::int64_t>(1, 129), adjacency);
            const bool cores = *rc::gen::arbitrary<bool>();
            const bool memory = *rc::gen::arbitrary<bool>();
            const bool accelerators = *rc::gen::arbitrary<bool>();
            job.perTask = resources(cores ? 1 : 0, memory ? 1000 : 0, accelerators ? 1 : 0);
            const bool accepted = policy->submit(job, at(0)).has_value();
            const Decisions decisions = policy->decide(at(0));
            RC_ASSERT(accepted || cores || memory || accelerators);
            RC_ASSERT(decisions.starts.size() <= (accepted ? 1U : 0U));
            for (const auto& start : decisions.starts)
                RC_ASSERT(static_cast<std::int64_t>(start.placement.workers.size()) == job.tasks);
            RC_ASSERT(cores || memory || accelerators || decisions.starts.size() == 1);
        });
    }

} // namespace
} // namespace rosemarylink::policy
