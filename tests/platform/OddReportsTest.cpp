#include "FixedResponse.h"
#include "WorkerClient.h"

#include <catch2/catch.hpp>

#include <limits>
#include <string>
#include <vector>

namespace rosemarylink::platform {

namespace {

    // Deeper than the stack of a process allows to copy.
    constexpr std::size_t deepNesting = 1000000;

    jobs::WorkerEntry workerAt(const std::string& address)
    {
        jobs::WorkerEntry worker;
        worker.id = WorkerId("w1");
        worker.address = address;
        return worker;
    }

    struct PollOutcome {
        int handlerCalls = 0;
        Result<jobs::WorkerReport> report = makeError(ErrorCode::Internal, "the handler was not called");
    };

    PollOutcome poll(int status, const std::string& body)
    {
        FixedResponse worker(status, body);
        WorkerClient client(worker.http());
        PollOutcome outcome;
        outcome.handlerCalls = worker.handlerCalls([&](const std::function<void()>& handled) {
            client.poll(workerAt(worker.address()), Milliseconds(0), FencingToken(7), 0, Milliseconds(0),
                [&outcome, handled](Result<jobs::WorkerReport> report) {
                    outcome.report = std::move(report);
                    handled();
                });
        });
        return outcome;
    }

} // namespace

// Guards against an owner that ends, as do its successors, because a worker reports a deeply nested value.
TEST_CASE("a deeply nested report of a worker is malformed and does not end the process")
{
    const std::string nested = std::string(deepNesting, '[') + std::string(deepNesting, ']');
    for (const std::string& body :
        { R"({"ClockMs":5,"Running":)" + nested + "}", R"({"ClockMs":5,"Ended":)" + nested + "}", nested,
            std::string(deepNesting, '['), R"({"ClockMs":5,"Running":[[")" + std::string(100, '[') }) {
        const PollOutcome outcome = poll(200, body);
        CHECK(outcome.handlerCalls == 1);
        CHECK_FALSE(outcome.report.has_value());
    }
}

} // namespace rosemarylink::platform
