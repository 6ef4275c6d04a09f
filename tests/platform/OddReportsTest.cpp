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

// Guards against numbers that are converted to others: a run that was never started, a time that overflows.
TEST_CASE("a report with a number out of range is malformed")
{
    const auto report = [](const std::string& text) { return poll(200, text).report; };
    for (const char* const number :
        { "1e300", "-1e300", "1099511627776", "-1", "9223372036854775807", "18446744073709551615", "1.5", "\"2\"" }) {
        const std::string text(number);
        INFO(text);
        CHECK_FALSE(report(R"({"ClockMs":5,"Running":[["a1.0.0.0",)" + text + R"(,"",0]]})").has_value());
        CHECK_FALSE(report(R"({"ClockMs":5,"Ended":[[1,"a1.0.0.0",)" + text + R"(,"done",""]]})").has_value());
    }
    for (const char* const number : { "1e300", "-1", "18446744073709551615", "9223372036854775807", "1.5", "null" }) {
        const std::string text(number);
        INFO(text);
        CHECK_FALSE(report(R"({"ClockMs":5,"born":)" + text + "}").has_value());
        CHECK_FALSE(report(R"({"ClockMs":5,"Ended":[[)" + text + R"(,"a1.0.0.0",1,"done",""]]})").has_value());
    }
    for (const char* const number : { "1e300", "-1", "18446744073709551615", "9223372036854775807", "null", "\"5\"" })
        CHECK_FALSE(report(R"({"ClockMs":)" + std::string(number) + "}").has_value());
    for (const char* const percent : { "1e300", "-1e300", "1e30" }) {
        const auto bounded = report(R"({"ClockMs":5,"Running":[["a1.0.0.0",1,"",)" + std::string(percent) + "]]}");
        REQUIRE(bounded.has_value());
        CHECK(bounded.value().running.at(0).percent >= 0);
        CHECK(bounded.value().running.at(0).percent <= 100);
    }
}

// Guards against refusing what workers really report.
TEST_CASE("the fields of a report are decoded")
{
    const auto report = poll(200,
        R"({"ClockMs":482113,"born":1700000000000,"Running":[["a1.0.1.17",2,"c",41,0.5],["other",1,"",0]],
            "Ended":[[58,"a1.0.1.9",1,"done",""]]})")
                            .report;
    REQUIRE(report.has_value());
    CHECK(report.value().workerClock == Milliseconds(482113));
    CHECK(report.value().startTimeMs == 1700000000000);
    REQUIRE(report.value().running.size() == 1);
    CHECK(report.value().running[0].task.index == 17);
    CHECK(report.value().running[0].run == 2);
    CHECK(report.value().running[0].checkpoint == "c");
    CHECK(report.value().running[0].percent == 41);
    REQUIRE(report.value().ended.size() == 1);
    CHECK(report.value().ended[0].number == 58);
    CHECK(report.value().ended[0].end == jobs::RunEnd::Done);
}

} // namespace rosemarylink::platform
