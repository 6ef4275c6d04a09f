#include "CommandRunner.h"

#include "ControlClient.h"

namespace rosemarylink::control {
namespace {

    using internal::ControlClient;
    using internal::RetrySafety;

    // A gateway that answers all requests with the given handler.
    struct FakeGateway {
        transport::HttpRouter router;
        std::unique_ptr<transport::HttpServer> server;
        int requests = 0;

        explicit FakeGateway(const transport::HttpHandler& answer)
        {
            for (const char* method : { "GET", "PUT", "POST", "DELETE" }) {
                router.add(method, "/{path...}", [this, answer](const transport::HttpRequest& request) {
                    ++requests;
                    return answer(request);
                });
            }
            server = std::make_unique<transport::HttpServer>(router, transport::HttpServerOptions {});
            REQUIRE(server->start());
        }

        std::string address() const { return "127.0.0.1:" + std::to_string(server->port()); }
    };

    transport::HttpResponse dropConnection(const transport::HttpRequest&)
    {
        transport::HttpResponse response;
        response.closeWithoutAnswer = true;
        return response;
    }

    transport::HttpResponse success(const transport::HttpRequest&)
    {
        return transport::jsonResponse({ { "ok", true } });
    }

    transport::HttpHandler failing(const Error& error)
    {
        return [error](const transport::HttpRequest&) { return transport::errorResponse(error); };
    }

    // An address that refuses connections.
    std::string closedAddress() { return FakeGateway(success).address(); }

    struct Sender {
        ManualClock clock;
        internal::Outcome<nlohmann::json> operator()(
            const std::vector<std::string>& gateways, RetrySafety repetition, const std::string& method = "POST")
        {
            ControlClient client(gateways, "key", Milliseconds(5000), clock);
            return client.send(method, "/v1/jobs", {}, { { "a", 1 } }, repetition);
        }
    };

    TEST_CASE("a request fails over after a refused connection, even if it is unsafe to retry")
    {
        FakeGateway second(success);
        Sender send;
        CHECK(send({ closedAddress(), second.address() }, RetrySafety::Unsafe));
        CHECK(second.requests == 1);
    }

    TEST_CASE("a request fails over after an error with verdict NotRun, even if it is unsafe to retry")
    {
        FakeGateway first(failing({ ErrorCode::Unavailable, "leaving", Verdict::NotRun, std::nullopt }));
        FakeGateway second(success);
        Sender send;
        CHECK(send({ first.address(), second.address() }, RetrySafety::Unsafe));
        CHECK(second.requests == 1);
    }

    // Guards against a second execution of a write that must run at most once, when the first gateway closes the
    // connection without an answer.
    TEST_CASE("after a lost answer a request is retried only if it is safe to retry")
    {
        FakeGateway first(dropConnection);
        FakeGateway second(success);
        Sender send;
        const auto unsafe = send({ first.address(), second.address() }, RetrySafety::Unsafe);
        REQUIRE_FALSE(unsafe);
        CHECK(unsafe.error().exitCode == ExitCode::Unreachable);
        CHECK(unsafe.error().error.verdict == Verdict::MayHaveRun);
        CHECK(second.requests == 0);
        CHECK(send({ first.address(), second.address() }, RetrySafety::Safe));
        CHECK(second.requests == 1);
    }

    TEST_CASE("an error with verdict MayHaveRun prevents the retry of an unsafe request")
    {
        FakeGateway first(failing({ ErrorCode::Unavailable, "store slow", Verdict::MayHaveRun, std::nullopt }));
        FakeGateway second(success);
        Sender send;
        const auto unsafe = send({ first.address(), second.address() }, RetrySafety::Unsafe);
        REQUIRE_FALSE(unsafe);
        CHECK(unsafe.error().exitCode == ExitCode::Refused);
        CHECK(second.requests == 0);
    }

    TEST_CASE("a refused request is not sent to another gateway")
    {
        FakeGateway first(failing(makeError(ErrorCode::PermissionDenied, "no")));
        FakeGateway second(success);
        Sender send;
        const auto refused = send({ first.address(), second.address() }, RetrySafety::Safe);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().exitCode == ExitCode::Refused);
        CHECK(second.requests == 0);
    }

    // Guards against a verdict NotRun from the second gateway when the first one may have run the request.
    TEST_CASE("the verdict covers all gateways that were tried")
    {
        FakeGateway first(dropConnection);
        FakeGateway second(failing(makeError(ErrorCode::Conflict, "version 9 was accepted from omar")));
        Sender send;
        const auto result = send({ first.address(), second.address() }, RetrySafety::Safe);
        REQUIRE_FALSE(result);
        CHECK(result.error().exitCode == ExitCode::Conflict);
        CHECK(result.error().error.verdict == Verdict::MayHaveRun);
    }

    TEST_CASE("each kind of failure has its exit code")
    {
        Sender send;
        const auto exitCode = [&](const Error& error) {
            FakeGateway gateway(failing(error));
            return send({ gateway.address() }, RetrySafety::Safe).error().exitCode;
        };
        CHECK(exitCode(makeError(ErrorCode::InvalidArgument, "x")) == ExitCode::Refused);
        CHECK(exitCode(makeError(ErrorCode::Unavailable, "x")) == ExitCode::Refused);
        CHECK(exitCode(makeError(ErrorCode::Conflict, "x")) == ExitCode::Conflict);
        CHECK(exitCode(makeError(ErrorCode::DeadlineExceeded, "x")) == ExitCode::TimedOut);
        CHECK(send({ closedAddress() }, RetrySafety::Safe).error().exitCode == ExitCode::Unreachable);

        FakeGateway slow([&](const transport::HttpRequest& request) {
            send.clock.advance(Milliseconds(5000));
            return dropConnection(request);
        });
        CHECK(send({ slow.address() }, RetrySafety::Safe).error().exitCode == ExitCode::TimedOut);
    }

    TEST_CASE("a change whose answer is lost is stored once when it is retried at the next gateway")
    {
        CommandRunner run;
        FakeGateway lossy([&](const transport::HttpRequest& request) {
            const auto response = run.fixture.router.route(request);
            return request.method == "GET" ? response : dropConnection(request);
        });
        run.gateways = lossy.address() + "," + run.fixture.address();
        const auto result = run({ "apply", run.declarations("changed", withHarborWeight(4)) });
        CHECK(result.exitCode == 0);
        CHECK(result.output == "nothing differs from version 2\n");
        CHECK(run.fixture.backend.proposals == 1);
    }

    TEST_CASE("a job whose answer is lost is submitted once, and the key for a retry is printed")
    {
        CommandRunner run;
        FakeGateway lossy([&](const transport::HttpRequest& request) {
            run.fixture.router.route(request);
            return dropConnection(request);
        });
        run.gateways = lossy.address();
        const std::vector<std::string> submit { "job", "submit", "--account", "harbor", "--kind", "k", "--runtime",
            "1h" };
        const auto lost = run(submit);
        CHECK(lost.exitCode == 3);
        const std::string hint = "the request may have run; retry it with --key ";
        const auto position = lost.errors.find(hint);
        REQUIRE(position != std::string::npos);
        std::vector<std::string> repeated = submit;
        repeated.emplace_back("--key");
        repeated.push_back(lost.errors.substr(position + hint.size(), 32));
        run.gateways = run.fixture.address();
        CHECK(run(repeated).exitCode == 0);
        CHECK(run.fixture.backend.submissions == 1);
    }

    TEST_CASE("no reachable gateway gives exit code 3")
    {
        CommandRunner run;
        run.gateways = closedAddress() + "," + closedAddress();
        const auto result = run({ "status" });
        CHECK(result.exitCode == 3);
        CHECK(contains(result.errors, "127.0.0.1:"));
    }

} // namespace
} // namespace rosemarylink::control
