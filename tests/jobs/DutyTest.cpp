#include "rosemarylink/jobs/Duty.h"
#include "SimWorld.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <string>
#include <vector>

namespace rosemarylink::jobs {

namespace {

    constexpr Milliseconds interval { 1000 };
    constexpr Milliseconds retryDelay { 200 };
    constexpr Milliseconds limit { 5000 };

    // A duty whose work makes one call, to which the test responds.
    struct DutyFixture {
        SimWorld world;
        MetricsRegistry registry;
        JobMetrics metrics { registry };
        std::shared_ptr<Duty> duty
            = std::make_shared<Duty>(Duty::Options { "list", { interval, retryDelay } }, world, world.clock(), metrics);
        std::vector<std::function<void(int)>> calls; // the response handler of each call
        std::vector<int> handled;
        bool callThrows = false;
        bool handlerThrows = false;

        void start()
        {
            duty->start(duty, [this] {
                calls.emplace_back(duty->await(limit, [this](int response) { return handle(response); }));
                if (callThrows)
                    throw std::runtime_error("the call");
            });
        }

        Duty::Outcome handle(int response)
        {
            handled.push_back(response);
            if (handlerThrows)
                throw std::runtime_error("the handler");
            return response > 0 ? Duty::Outcome::Succeeded : Duty::Outcome::Failed;
        }

        bool reports(const std::string& line) const
        {
            return registry.renderPrometheus().find(line + "\n") != std::string::npos;
        }
    };

} // namespace

// Guards against a duty that is over after one exception.
TEST_CASE("a duty is started again after an exception in its work or its response handler")
{
    DutyFixture fixture;
    SECTION("in the work")
    {
        fixture.callThrows = true;
        fixture.start();
        CHECK(fixture.duty->lastError() == "the call");
    }
    SECTION("in the response handler")
    {
        fixture.handlerThrows = true;
        fixture.start();
        fixture.calls.back()(1);
        CHECK(fixture.duty->lastError() == "the handler");
    }
    CHECK(fixture.reports("rosemarylink_duty_restarts_total{cause=\"exception\",duty=\"list\"} 1"));
    fixture.callThrows = false;
    fixture.handlerThrows = false;
    fixture.world.run(retryDelay);
    REQUIRE(fixture.calls.size() == 2);
    fixture.calls.back()(1);
    CHECK(fixture.duty->lastError().empty());
    fixture.world.run(interval);
    CHECK(fixture.calls.size() == 3);
}

// Guards against a duty that waits forever for a response, and against a late response that is handled as well.
TEST_CASE("a duty is started again when the response to its call does not come")
{
    DutyFixture fixture;
    fixture.start();
    fixture.world.run(limit + retryDelay - Milliseconds(1));
    CHECK(fixture.calls.size() == 1);
    CHECK(fixture.duty->lastError() == "no response");
    CHECK(fixture.duty->sinceSuccess() == limit + retryDelay - Milliseconds(1));
    fixture.duty->updateMetrics();
    CHECK(fixture.reports("rosemarylink_duty_age_seconds{duty=\"list\"} 5.199"));
    CHECK(fixture.reports("rosemarylink_duty_restarts_total{cause=\"no-response\",duty=\"list\"} 1"));
    fixture.world.run(Milliseconds(1));
    REQUIRE(fixture.calls.size() == 2);
    fixture.calls[0](7);
    CHECK(fixture.handled.empty());
    fixture.calls[1](8);
    CHECK(fixture.handled == std::vector<int> { 8 });
    CHECK(fixture.duty->sinceSuccess() == Milliseconds(0));
}

// Guards against a duty that runs twice, and ever more often, after a response that came twice.
TEST_CASE("a duty handles one response to its call")
{
    DutyFixture fixture;
    fixture.start();
    fixture.calls[0](1);
    fixture.calls[0](2);
    fixture.world.run(interval * 3);
    CHECK(fixture.handled == std::vector<int> { 1 });
    CHECK(fixture.calls.size() == 2);
}

// Guards against a call that is repeated without pause while it fails.
TEST_CASE("a duty whose call fails is repeated after the retry delay")
{
    DutyFixture fixture;
    fixture.start();
    for (int turn = 1; turn <= 4; ++turn) {
        REQUIRE(fixture.calls.size() == static_cast<std::size_t>(turn));
        fixture.calls.back()(-1);
        fixture.world.run(retryDelay - Milliseconds(1));
        REQUIRE(fixture.calls.size() == static_cast<std::size_t>(turn));
        fixture.world.run(Milliseconds(1));
    }
    CHECK(fixture.duty->sinceSuccess() == retryDelay * 4);
}

// Guards against responses that are handled by an owner that is no longer one.
TEST_CASE("a duty does nothing after the end of its scope")
{
    DutyFixture fixture;
    fixture.start();
    fixture.duty->updateMetrics();
    fixture.duty.reset();
    fixture.calls[0](1);
    fixture.world.run(limit * 2);
    CHECK(fixture.handled.empty());
    CHECK(fixture.calls.size() == 1);
    CHECK(fixture.reports("rosemarylink_duty_age_seconds{duty=\"list\"} 0"));
}

} // namespace rosemarylink::jobs
