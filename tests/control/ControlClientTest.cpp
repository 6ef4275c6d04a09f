#include "CommandRun.h"

#include "ControlClient.h"

namespace rosemarylink::control {
namespace {

    using internal::ControlClient;
    using internal::Repetition;

    // A gateway that treats each request as the function says.
    struct StandInGateway {
        transport::HttpRouter router;
        std::unique_ptr<transport::HttpServer> server;
        int requests = 0;

        explicit StandInGateway(const transport::HttpHandler& answer)
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

    transport::HttpResponse silence(const transport::HttpRequest&)
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
    std::string closedAddress() { return StandInGateway(success).address(); }

    struct Send {
        ManualClock clock;
        internal::Outcome<nlohmann::json> operator()(
            const std::vector<std::string>& gateways, Repetition repetition, const std::string& method = "POST")
        {
            ControlClient client(gateways, "key", Milliseconds(5000), clock);
            return client.send(method, "/v1/jobs", {}, { { "a", 1 } }, repetition);
        }
    };

    TEST_CASE("a gateway that refuses the connection has not run the request, so the next one is asked")
    {
        StandInGateway second(success);
        Send send;
        CHECK(send({ closedAddress(), second.address() }, Repetition::Unsafe));
        CHECK(second.requests == 1);
    }

    TEST_CASE("a gateway that refuses the request as not run lets the next one be asked")
    {
        StandInGateway first(failing({ ErrorCode::Unavailable, "leaving", Verdict::NotRun, std::nullopt }));
        StandInGateway second(success);
        Send send;
        CHECK(send({ first.address(), second.address() }, Repetition::Unsafe));
        CHECK(second.requests == 1);
    }

    // Guards against a second execution of a write that must run at most once.
    TEST_CASE("after a lost answer an unsafe request is not sent again, and a safe one is")
    {
        StandInGateway first(silence);
        StandInGateway second(success);
        Send send;
        const auto unsafe = send({ first.address(), second.address() }, Repetition::Unsafe);
        REQUIRE_FALSE(unsafe);
        CHECK(unsafe.error().exitCode == ExitCode::Unreachable);
        CHECK(unsafe.error().error.verdict == Verdict::MayHaveRun);
        CHECK(second.requests == 0);
        CHECK(send({ first.address(), second.address() }, Repetition::Safe));
        CHECK(second.requests == 1);
    }

    TEST_CASE("a verdict of the server that the request may have run stops an unsafe request too")
    {
        StandInGateway first(failing({ ErrorCode::Unavailable, "store slow", Verdict::MayHaveRun, std::nullopt }));
        StandInGateway second(success);
        Send send;
        const auto unsafe = send({ first.address(), second.address() }, Repetition::Unsafe);
        REQUIRE_FALSE(unsafe);
        CHECK(unsafe.error().exitCode == ExitCode::Refused);
        CHECK(second.requests == 0);
    }

    TEST_CASE("a refusal is not taken to another gateway")
    {
        StandInGateway first(failing(makeError(ErrorCode::PermissionDenied, "no")));
        StandInGateway second(success);
        Send send;
        const auto refused = send({ first.address(), second.address() }, Repetition::Safe);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().exitCode == ExitCode::Refused);
        CHECK(second.requests == 0);
    }

    // A refusal by the second gateway must not hide that the first one may have run the request.
    TEST_CASE("the verdict covers all gateways that were asked")
    {
        StandInGateway first(silence);
        StandInGateway second(failing(makeError(ErrorCode::Conflict, "version 9 was accepted from omar")));
        Send send;
        const auto result = send({ first.address(), second.address() }, Repetition::Safe);
        REQUIRE_FALSE(result);
        CHECK(result.error().exitCode == ExitCode::Conflict);
        CHECK(result.error().error.verdict == Verdict::MayHaveRun);
    }

    TEST_CASE("failures have their exit codes")
    {
        Send send;
        const auto exitCode = [&](const Error& error) {
            StandInGateway gateway(failing(error));
            return send({ gateway.address() }, Repetition::Safe).error().exitCode;
        };
        CHECK(exitCode(makeError(ErrorCode::InvalidArgument, "x")) == ExitCode::Refused);
        CHECK(exitCode(makeError(ErrorCode::Unavailable, "x")) == ExitCode::Refused);
        CHECK(exitCode(makeError(ErrorCode::Conflict, "x")) == ExitCode::Conflict);
        CHECK(exitCode(makeError(ErrorCode::DeadlineExceeded, "x")) == ExitCode::TimedOut);
        CHECK(send({ closedAddress() }, Repetition::Safe).error().exitCode == ExitCode::Unreachable);

        StandInGateway slow([&](const transport::HttpRequest& request) {
            send.clock.advance(Milliseconds(5000));
            return silence(request);
        });
        CHECK(send({ slow.address() }, Repetition::Safe).error().exitCode == ExitCode::TimedOut);
    }

    TEST_CASE("a change whose answer is lost is stored once when it is repeated at the next gateway")
    {
        CommandRun run;
        StandInGateway lossy([&](const transport::HttpRequest& request) {
            const auto response = run.fixture.router.route(request);
            return request.method == "GET" ? response : silence(request);
        });
        run.gateways = lossy.address() + "," + run.fixture.address();
        const auto result = run({ "apply", run.declarations("changed", withHarborWeight(4)) });
        CHECK(result.exitCode == 0);
        CHECK(result.output == "nothing differs from version 2\n");
        CHECK(run.fixture.backend.proposals == 1);
    }

    TEST_CASE("a job whose answer is lost is submitted once, and the key to repeat it is shown")
    {
        CommandRun run;
        StandInGateway lossy([&](const transport::HttpRequest& request) {
            run.fixture.router.route(request);
            return silence(request);
        });
        run.gateways = lossy.address();
        const std::vector<std::string> submit { "job", "submit", "--account", "harbor", "--kind", "k", "--runtime",
            "1h" };
        const auto lost = run(submit);
        CHECK(lost.exitCode == 3);
        const std::string hint = "the request may have run; repeat it with --key ";
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
        CommandRun run;
        run.gateways = closedAddress() + "," + closedAddress();
        const auto result = run({ "status" });
        CHECK(result.exitCode == 3);
        CHECK(contains(result.errors, "127.0.0.1:"));
    }

} // namespace
} // namespace rosemarylink::control
