#include "OutlierDetector.h"
#include "RetryBudget.h"
#include "UpstreamSelector.h"

#include "rosemarylink/base/Clock.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <numeric>

namespace rosemarylink::gateway::internal {
namespace {

    RoutingOptions options()
    {
        RoutingOptions result;
        result.region = RegionId("amman");
        result.failureDomain = FailureDomainId("amman-1");
        return result;
    }

    model::UpstreamSpec upstream(const std::string& id, const std::string& region = "amman",
        const std::string& failureDomain = "amman-1", int slots = 8)
    {
        model::UpstreamSpec spec;
        spec.id = UpstreamId(id);
        spec.service = ServiceId("sorting");
        spec.address = "127.0.0.1:1/" + id;
        spec.slots = slots;
        spec.connections = 64;
        spec.region = RegionId(region);
        spec.failureDomain = FailureDomainId(failureDomain);
        return spec;
    }

    std::vector<model::UpstreamSpec> upstreams(int count)
    {
        std::vector<model::UpstreamSpec> result;
        result.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index)
            result.push_back(upstream(std::to_string(index)));
        return result;
    }

    TEST_CASE("retries never exceed their share of the requests, from the first request on")
    {
        rc::prop("retries <= share * requests", [](const std::vector<bool>& events) {
            RetryBudget budget(0.1);
            int requests = 0;
            int retries = 0;
            for (const bool isRequest : events) {
                if (isRequest) {
                    budget.deposit();
                    ++requests;
                } else {
                    retries += budget.tryWithdraw() ? 1 : 0;
                }
                RC_ASSERT(retries * 10 <= requests);
            }
        });
    }

    TEST_CASE("gateways that share an upstream converge to equal shares without a coordinator")
    {
        rc::prop("shares differ by at most one and a half slots", [] {
            constexpr int slots = 16;
            const auto gateways = *rc::gen::inRange<std::size_t>(2, 7);
            std::vector<ConcurrencyLimit> limits;
            limits.reserve(gateways);
            for (std::size_t index = 0; index < gateways; ++index)
                limits.emplace_back(slots, gateways);
            ManualClock clock;
            // One gateway starts with the whole upstream, so that its share is far above the others'.
            for (int step = 0; step < 100; ++step) {
                clock.advance(Milliseconds(50));
                limits.front().onResponse(false, true, clock.monotonic());
            }
            REQUIRE(limits.front().value() == slots);
            std::vector<double> sums(gateways);
            constexpr int steps = 2000;
            for (int step = 0; step < steps; ++step) {
                clock.advance(Milliseconds(50));
                const int total = std::accumulate(limits.begin(), limits.end(), 0,
                    [](int sum, const ConcurrencyLimit& limit) { return sum + limit.value(); });
                for (std::size_t index = 0; index < gateways; ++index) {
                    limits[index].onResponse(total >= slots, true, clock.monotonic());
                    if (step >= steps / 2)
                        sums[index] += limits[index].value() * 2.0 / steps;
                }
            }
            const auto [least, most] = std::minmax_element(sums.begin(), sums.end());
            RC_ASSERT(*most - *least <= 1.5);
            RC_ASSERT(std::accumulate(sums.begin(), sums.end(), 0.0) >= 0.75 * slots);
        });
    }

    TEST_CASE("a concurrency limit is always between one and the number of slots")
    {
        rc::prop("1 <= limit <= slots", [](const std::vector<std::pair<bool, bool>>& events) {
            ConcurrencyLimit limit(8, 3);
            ManualClock clock;
            for (const auto& [refused, full] : events) {
                clock.advance(Milliseconds(60));
                if (refused)
                    limit.onRefusal(clock.monotonic());
                else
                    limit.onResponse(full, true, clock.monotonic());
                RC_ASSERT(limit.value() >= 1);
                RC_ASSERT(limit.value() <= 8);
            }
        });
    }

    TEST_CASE("at least half of the upstreams are not ejected, whichever fail")
    {
        rc::prop("2 * ejected <= upstreams", [](const std::vector<std::pair<std::uint8_t, bool>>& outcomes) {
            const int count = *rc::gen::inRange(1, 9);
            std::vector<UpstreamId> ids;
            ids.reserve(static_cast<std::size_t>(count));
            for (int index = 0; index < count; ++index)
                ids.emplace_back(std::to_string(index));
            OutlierDetector detector;
            ManualClock clock;
            detector.setUpstreams(ids, clock.monotonic());
            for (const auto& [which, success] : outcomes) {
                clock.advance(Milliseconds(10));
                for (int repeat = 0; repeat < 6; ++repeat)
                    detector.record(ids[which % ids.size()], success, clock.monotonic());
                const auto ejected = std::count_if(ids.begin(), ids.end(),
                    [&](const UpstreamId& id) { return detector.isEjected(id, clock.monotonic()); });
                RC_ASSERT(2 * ejected <= count);
            }
        });
    }

    TEST_CASE("an upstream that fails alone is ejected for a time, and none is ejected when all fail alike")
    {
        std::vector<UpstreamId> ids { UpstreamId("a"), UpstreamId("b"), UpstreamId("c") };
        OutlierDetector detector;
        detector.setUpstreams(ids, Milliseconds(0));
        for (int round = 0; round < 10; ++round) {
            detector.record(ids[0], false, Milliseconds(0));
            detector.record(ids[1], true, Milliseconds(0));
            detector.record(ids[2], true, Milliseconds(0));
        }
        CHECK(detector.isEjected(ids[0], Milliseconds(1000)));
        CHECK_FALSE(detector.isEjected(ids[0], Milliseconds(5000)));
        CHECK(detector.lastEjectionEnd(ids[0]) == Milliseconds(5000));

        OutlierDetector allFail;
        allFail.setUpstreams(ids, Milliseconds(0));
        for (int round = 0; round < 100; ++round) {
            for (const UpstreamId& id : ids)
                CHECK_FALSE(allFail.record(id, round % 2 == 0, Milliseconds(0)));
        }
    }

    TEST_CASE("the ejection of an upstream ends when it is the only one left in the list")
    {
        std::vector<UpstreamId> ids { UpstreamId("a"), UpstreamId("b") };
        OutlierDetector detector;
        detector.setUpstreams(ids, Milliseconds(0));
        for (int round = 0; round < 10; ++round) {
            detector.record(ids[1], true, Milliseconds(0));
            detector.record(ids[0], false, Milliseconds(0));
        }
        REQUIRE(detector.isEjected(ids[0], Milliseconds(0)));
        detector.setUpstreams({ ids[0] }, Milliseconds(0));
        CHECK_FALSE(detector.isEjected(ids[0], Milliseconds(0)));
    }

    TEST_CASE("no upstream gets more requests than its limit, and leaving upstreams get none")
    {
        rc::prop("in progress <= slots", [](const std::vector<std::uint8_t>& events) {
            UpstreamSelector selector(options());
            auto specs = upstreams(4);
            specs[3].state = model::ResourceState::Leaving;
            ManualClock clock;
            std::mt19937_64 random(7);
            selector.setUpstreams(specs, 1, clock.monotonic());
            std::vector<UpstreamId> running;
            for (const std::uint8_t event : events) {
                clock.advance(Milliseconds(event));
                if (event % 3 == 0 && !running.empty()) {
                    const auto outcome = static_cast<UpstreamOutcome>(event / 3 % 5);
                    selector.release(running.back(), outcome, event % 9, clock.monotonic());
                    running.pop_back();
                } else if (const auto chosen = selector.choose({ 100, 0, {} }, random, clock.monotonic())) {
                    running.push_back(*chosen);
                }
                for (const auto& spec : specs) {
                    const auto count = std::count(running.begin(), running.end(), spec.id);
                    RC_ASSERT(selector.inProgress(spec.id) == count);
                    RC_ASSERT(count <= (spec.state == model::ResourceState::Ready ? spec.slots : 0));
                }
            }
        });
    }

    TEST_CASE("nearer upstreams come first, and another region is used only when the saved wait exceeds the cost of "
              "the transfer")
    {
        UpstreamSelector selector(options());
        selector.setUpstreams({ upstream("domain", "amman", "amman-1", 1), upstream("region", "amman", "amman-2", 1),
                                  upstream("world", "irbid", "irbid-1", 4) },
            1, Milliseconds(0));
        std::mt19937_64 random(7);
        const auto choose = [&](double expectedWait, std::size_t bytes) {
            return selector.choose({ bytes, expectedWait, {} }, random, Milliseconds(0)).value_or(UpstreamId("wait"));
        };
        CHECK(choose(0, 1000) == UpstreamId("domain"));
        CHECK(choose(0.5, 1000) == UpstreamId("wait"));
        CHECK(choose(2, 1000) == UpstreamId("region"));
        CHECK(choose(20, 1000) == UpstreamId("wait"));
        CHECK(choose(30, 1000) == UpstreamId("world"));
        CHECK(choose(30, 100000) == UpstreamId("wait"));
        CHECK(choose(130, 100000) == UpstreamId("world"));
        CHECK(selector.isCrossRegion(UpstreamId("world")));
        CHECK_FALSE(selector.isCrossRegion(UpstreamId("region")));
    }

    TEST_CASE("another region is used at once when the own region has no upstream")
    {
        UpstreamSelector selector(options());
        selector.setUpstreams({ upstream("world", "irbid", "irbid-1") }, 1, Milliseconds(0));
        std::mt19937_64 random(7);
        CHECK(selector.choose({ 1000000, 0, {} }, random, Milliseconds(0)) == UpstreamId("world"));
    }

    TEST_CASE("a retry goes to an untried upstream while there is one")
    {
        rc::prop("tried upstreams are avoided", [] {
            const int count = *rc::gen::inRange(2, 6);
            UpstreamSelector selector(options());
            selector.setUpstreams(upstreams(count), 1, Milliseconds(0));
            std::mt19937_64 random(*rc::gen::arbitrary<std::uint32_t>());
            std::set<UpstreamId> tried;
            for (int attempt = 0; attempt < count; ++attempt) {
                const auto chosen = selector.choose({ 1, 0, tried }, random, Milliseconds(0));
                RC_ASSERT(chosen.has_value());
                RC_ASSERT(tried.insert(*chosen).second);
            }
            RC_ASSERT(selector.choose({ 1, 0, tried }, random, Milliseconds(0)).has_value());
        });
    }

    TEST_CASE("a new upstream gets its share gradually, and those of the first list get it at once")
    {
        UpstreamSelector selector(options());
        selector.setUpstreams(upstreams(1), 1, Milliseconds(0));
        CHECK(selector.capacity(Milliseconds(0)) == 8);
        selector.setUpstreams(upstreams(2), 1, Milliseconds(0));
        CHECK(selector.capacity(Milliseconds(0)) == 9);
        CHECK(selector.capacity(Milliseconds(5000)) == 12);
        CHECK(selector.capacity(Milliseconds(10000)) == 16);
    }

    TEST_CASE("choosing between two upstreams with load reports avoids those that other gateways keep busy")
    {
        UpstreamSelector selector(options());
        selector.setUpstreams(upstreams(10), 1, Milliseconds(0));
        std::mt19937_64 random(7);
        // Another gateway keeps the first five upstreams busy, which is known only from their reports.
        for (int index = 0; index < 5; ++index) {
            for (int answers = 0; answers < 20; ++answers)
                selector.release(UpstreamId(std::to_string(index)), UpstreamOutcome::Unused, 8, Milliseconds(0));
        }
        int onBusy = 0;
        for (int request = 0; request < 20; ++request) {
            const auto chosen = selector.choose({ 1, 0, {} }, random, Milliseconds(0));
            REQUIRE(chosen);
            onBusy += std::stoi(chosen->value()) < 5 ? 1 : 0;
        }
        CHECK(onBusy <= 6);
    }

} // namespace
} // namespace rosemarylink::gateway::internal
