#include "RunTimeModel.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs::internal {

// Guards against reservations that rely on declared run times which are far off.
TEST_CASE("run times are predicted from the queue's history when declared times are worthless")
{
    RunTimeModel model;
    const QueueId queue("q");
    for (int turn = 0; turn < 20; ++turn)
        model.observe(queue, Milliseconds(turn % 2 == 0 ? 500 : 30000), Milliseconds(5900 + 10 * turn));
    CHECK(model.predict(queue, Milliseconds(500)) > Milliseconds(5500));
    CHECK(model.predict(queue, Milliseconds(30000)) < Milliseconds(6500));
    CHECK(model.predict(QueueId("other"), Milliseconds(500)) == Milliseconds(500));
}

// Guards against ignoring declared times that are off by a constant factor only.
TEST_CASE("run times are predicted from the declared time when that explains them better")
{
    RunTimeModel model;
    const QueueId queue("q");
    for (int turn = 0; turn < 7; ++turn)
        model.observe(queue, Milliseconds(1000), Milliseconds(2000));
    CHECK(model.predict(queue, Milliseconds(1000)) == Milliseconds(1000)); // too few observations
    for (int turn = 0; turn < 20; ++turn) {
        const Milliseconds declared(turn % 2 == 0 ? 500 : 30000);
        model.observe(queue, declared, declared * 2);
    }
    CHECK(model.predict(queue, Milliseconds(500)) > Milliseconds(900));
    CHECK(model.predict(queue, Milliseconds(500)) < Milliseconds(1100));
    CHECK(model.predict(queue, Milliseconds(30000)) > Milliseconds(55000));
}

} // namespace rosemarylink::jobs::internal
