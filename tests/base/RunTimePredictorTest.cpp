#include "rosemarylink/base/RunTimePredictor.h"

#include <catch2/catch.hpp>

namespace rosemarylink {

// Guards against reservations that rely on declared run times which are far off.
TEST_CASE("run times are predicted from the kind's history when declared times are worthless")
{
    RunTimePredictor predictor;
    for (int turn = 0; turn < 20; ++turn)
        predictor.observe("q", Milliseconds(turn % 2 == 0 ? 500 : 30000), Milliseconds(5900 + 10 * turn));
    CHECK(predictor.predict("q", Milliseconds(500)) > Milliseconds(5500));
    CHECK(predictor.predict("q", Milliseconds(30000)) < Milliseconds(6500));
    CHECK(predictor.predict("other", Milliseconds(500)) == Milliseconds(500));
}

// Guards against ignoring declared times that are off by a constant factor only.
TEST_CASE("run times are predicted from the declared time when that explains them better")
{
    RunTimePredictor predictor;
    for (int turn = 0; turn < 20; ++turn) {
        const Milliseconds declared(turn % 2 == 0 ? 500 : 30000);
        predictor.observe("q", declared, declared * 2);
    }
    CHECK(predictor.predict("q", Milliseconds(500)) > Milliseconds(950));
    CHECK(predictor.predict("q", Milliseconds(500)) < Milliseconds(1050));
    CHECK(predictor.predict("q", Milliseconds(30000)) > Milliseconds(58000));
}

} // namespace rosemarylink
