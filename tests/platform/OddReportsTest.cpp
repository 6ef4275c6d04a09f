#include "FixedResponse.h"
#include "WorkerClient.h"

#include <catch2/catch.hpp>

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

    struct StartOutcome {
        int handlerCalls = 0;
        jobs::CommandResponse response;
    };

    StartOutcome start(int status, const std::string& body)
    {
        FixedResponse worker(status, body);
        WorkerClient client(worker.http());
        StartOutcome outcome;
        outcome.handlerCalls = worker.handlerCalls([&](const std::function<void()>& handled) {
            client.start(workerAt(worker.address()), { { JobId("a1"), 0, 0, 0 }, 1, "", "" }, Milliseconds(5),
                FencingToken(7), [&outcome, handled](const jobs::CommandResponse& response) {
                    outcome.response = response;
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

// Guards against calls that never end, after which a task is never started again or a worker never polled again.
TEST_CASE("every response of a worker calls the handler exactly once")
{
    const std::vector<std::string> bodies { "", "null", "[]", "5", "\"fence\"", "{", R"({"Reason":5})",
        R"({"Reason":null})", R"({"Reason":["fence"]})", R"({"Reason":{}})", R"({"Reason":"fence"})",
        R"({"ClockMs":"5"})", R"({"ClockMs":1e300,"Reason":false})", R"({"ClockMs":5,"Running":7})",
        R"({"ClockMs":5,"Running":{"a":1}})", R"({"ClockMs":5,"Ended":[[]]})", R"({"ClockMs":5,"born":"x"})",
        R"({"ClockMs":5})", std::string("\xff\xfe") };
    for (const int status : { 200, 400, 409, 421, 429, 500, 503 }) {
        for (const std::string& body : bodies) {
            INFO(status << " " << body);
            CHECK(poll(status, body).handlerCalls == 1);
            CHECK(start(status, body).handlerCalls == 1);
        }
    }
    CHECK(poll(409, R"({"Reason":"fence"})").report.error().code == ErrorCode::Fenced);
    CHECK(start(409, R"({"Reason":5})").response.outcome == jobs::CommandOutcome::Refused);
    CHECK(start(409, R"({"Reason":"room","ClockMs":482113})").response.outcome == jobs::CommandOutcome::NoCapacity);
}

} // namespace rosemarylink::platform
