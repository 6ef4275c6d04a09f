#include "EvacuationView.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs::internal {

namespace {

    const FailureDomainId zone("zone");
    const FailureDomainId other("other");
    constexpr Milliseconds timeout { 5000 };

} // namespace

// Guards against starts by an owner that has read no list, or none for so long that an evacuation which it does not
// know of may forbid them.
TEST_CASE("starts are allowed only for a limited time after a list of the evacuations was requested")
{
    EvacuationView view;
    CHECK_FALSE(view.mayStart(Milliseconds(0), timeout));
    // The time counts from the request, however late the response arrives.
    REQUIRE(view.update({}, Milliseconds(1000), Milliseconds(3500)));
    CHECK(view.mayStart(Milliseconds(4000), timeout));
    CHECK_FALSE(view.mayStart(Milliseconds(4001), timeout));
    REQUIRE(view.update({}, Milliseconds(4100), Milliseconds(4200)));
    CHECK(view.mayStart(Milliseconds(7100), timeout));
    // A limit that is shorter than the time for commands still leaves a time for starts.
    CHECK(view.mayStart(Milliseconds(5000), Milliseconds(1900)));
    CHECK_FALSE(view.mayStart(Milliseconds(5100), Milliseconds(1900)));
}

// Guards against forgetting an evacuation because a list that was requested before it arrives after one that has it.
TEST_CASE("a list that was requested earlier does not replace one that was requested later")
{
    EvacuationView view;
    REQUIRE(view.update({ { zone, Revision(7) } }, Milliseconds(1500), Milliseconds(1600)));
    REQUIRE_FALSE(view.update({}, Milliseconds(1000), Milliseconds(1900)));
    CHECK(view.isEvacuated(zone));
    CHECK(view.requestedAt() == Milliseconds(1500));
    REQUIRE(view.update({}, Milliseconds(2000), Milliseconds(2100)));
    CHECK_FALSE(view.isEvacuated(zone));
}

// Guards against mixing up two evacuations, and one that was revoked and requested again between two lists.
TEST_CASE("each evacuation has its own revision and time")
{
    EvacuationView view;
    view.update({ { zone, Revision(7) } }, Milliseconds(1000), Milliseconds(1010));
    view.update({ { zone, Revision(7) }, { other, Revision(9) } }, Milliseconds(2000), Milliseconds(2010));
    CHECK(view.evacuations().at(zone).since == Milliseconds(1010));
    CHECK(view.evacuations().at(other).since == Milliseconds(2010));
    view.update({ { zone, Revision(12) }, { other, Revision(9) } }, Milliseconds(3000), Milliseconds(3010));
    CHECK(view.isEvacuated(zone));
    CHECK(view.evacuations().at(zone).since == Milliseconds(3010));
    CHECK(view.evacuations().at(zone).revision == Revision(12));
    view.update({ { other, Revision(9) } }, Milliseconds(4000), Milliseconds(4010));
    CHECK_FALSE(view.isEvacuated(zone));
    CHECK(view.isEvacuated(other));
}

} // namespace rosemarylink::jobs::internal
