#include "ConfigFakes.h"

#include "rosemarylink/state/DutyLease.h"

#include <catch2/catch.hpp>

namespace rosemarylink::state {
namespace {

    using namespace fakes;

    struct Duties {
        ManualClock clock;
        FakeStoreBackend backend { clock };
        FakeStoreClient firstClient { backend };
        FakeStoreClient secondClient { backend };
        DutyLease first { firstClient, clock, InstanceId("a"), "retention" };
        DutyLease second { secondClient, clock, InstanceId("b"), "retention" };

        // Ticks both every 100 ms of the duration. Returns how long both held the duty at the same time.
        Milliseconds run(Milliseconds duration, bool tickFirst = true)
        {
            Milliseconds both { 0 };
            for (Milliseconds passed { 0 }; passed < duration; passed += Milliseconds(100)) {
                if (tickFirst)
                    first.tick();
                second.tick();
                if (first.held() && second.held())
                    both += Milliseconds(100);
                clock.advance(Milliseconds(100));
            }
            return both;
        }
    };

    TEST_CASE("one instance holds a duty and keeps it by renewing")
    {
        Duties duties;
        CHECK(duties.run(Milliseconds(60000)) == Milliseconds(0));
        CHECK(duties.first.held());
        CHECK_FALSE(duties.second.held());
        CHECK(duties.firstClient.writes == 1);
    }

    TEST_CASE("another instance acquires the duty of a crashed holder within the lease and one retry")
    {
        Duties duties;
        duties.run(Milliseconds(10000));
        duties.run(Milliseconds(6000 + 2500 + 200), false);
        CHECK(duties.second.held());
    }

    TEST_CASE("another instance acquires a released duty within one retry")
    {
        Duties duties;
        duties.run(Milliseconds(10000));
        duties.first.release();
        duties.run(Milliseconds(2600), false);
        CHECK(duties.second.held());
    }

    // A process that resumes after its lease has expired must not report that it holds the duty.
    TEST_CASE("a holder paused for longer than its lease does not hold the duty when it resumes")
    {
        Duties duties;
        duties.run(Milliseconds(10000));
        duties.run(Milliseconds(20000), false);
        CHECK_FALSE(duties.first.held());
        CHECK(duties.second.held());
        CHECK(duties.run(Milliseconds(10000)) == Milliseconds(0));
        CHECK_FALSE(duties.first.held());
        CHECK(duties.second.held());
    }

    TEST_CASE("a duty is not held during a long store outage and is acquired again afterwards")
    {
        Duties duties;
        duties.run(Milliseconds(10000));
        duties.firstClient.down = true;
        duties.secondClient.down = true;
        CHECK(duties.run(Milliseconds(600000)) == Milliseconds(0));
        CHECK_FALSE(duties.first.held());
        duties.firstClient.down = false;
        duties.secondClient.down = false;
        CHECK(duties.run(Milliseconds(10000)) == Milliseconds(0));
        CHECK(duties.first.held() != duties.second.held());
    }

    TEST_CASE("a holder that cannot reach the store stops before another instance can acquire the duty")
    {
        Duties duties;
        duties.run(Milliseconds(10000));
        duties.firstClient.down = true;
        CHECK(duties.run(Milliseconds(20000)) == Milliseconds(0));
        CHECK(duties.second.held());
    }

    TEST_CASE("a lost reply to the write that acquires a duty is resolved")
    {
        for (const bool reply : { true, false }) {
            Duties duties;
            (reply ? duties.firstClient.loseReplyAtWrite : duties.firstClient.loseRequestAtWrite) = 1;
            duties.first.tick();
            CHECK(duties.first.held() == reply);
            duties.run(Milliseconds(5000));
            CHECK(duties.first.held() != duties.second.held());
        }
    }

} // namespace
} // namespace rosemarylink::state
