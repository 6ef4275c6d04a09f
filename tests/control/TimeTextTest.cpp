#include "rosemarylink/control/TimeText.h"

#include <catch2/catch.hpp>

namespace rosemarylink::control {
namespace {

    TEST_CASE("parseTime accepts the format of formatTime and plain dates")
    {
        const Timestamp time = timestampFromMilliseconds(1796371200000);
        CHECK(formatTime(time) == "2026-12-04T08:00:00Z");
        CHECK(parseTime("2026-12-04T08:00:00Z").value() == time);
        CHECK(parseTime("2026-12-04").value() == timestampFromMilliseconds(1796342400000));
        for (const char* wrong :
            { "", "yesterday", "2026-13-04", "2026-02-30", "2026-12-04 08:00", "2026-12-04T08:00:00Zx" })
            CHECK_FALSE(parseTime(wrong));
    }

    TEST_CASE("durations are parsed with a unit and formatted")
    {
        CHECK(parseDuration("250ms").value() == Milliseconds(250));
        CHECK(parseDuration("5min").value() == Milliseconds(300000));
        CHECK(parseDuration("7d").value() == Milliseconds(604800000));
        for (const char* wrong : { "", "5", "min", "-5s", "1,000s", "5 s", "5m", "99999999999999999999s" })
            CHECK_FALSE(parseDuration(wrong));
        CHECK(formatDuration(Milliseconds(850)) == "850 ms");
        CHECK(formatDuration(Milliseconds(90000)) == "90 s");
        CHECK(formatDuration(Milliseconds(5400000)) == "90 min");
        CHECK(formatDuration(Milliseconds(108000000)) == "30 h");
    }

} // namespace
} // namespace rosemarylink::control
