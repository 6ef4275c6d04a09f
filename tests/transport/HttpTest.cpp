#include "rosemarylink/transport/HttpClient.h"
#include "rosemarylink/transport/HttpServer.h"

#include <catch2/catch.hpp>

#include <future>

namespace rosemarylink::transport {
namespace {

    constexpr Milliseconds timeout { 5000 };

    struct EchoServer {
        HttpRouter router;
        std::unique_ptr<HttpServer> server;
        std::unique_ptr<HttpClient> client;
        std::promise<void> released;

        EchoServer()
        {
            router.add("POST", "/echo/{name}/rest", [](const HttpRequest& request) {
                return jsonResponse({ { "name", request.parameters.at("name") }, { "body", request.body } });
            });
            router.add("PUT", "/kv/value/{key...}",
                [](const HttpRequest& request) { return jsonResponse(request.parameters.at("key")); });
            router.add("GET", "/cut", [](const HttpRequest&) {
                HttpResponse response = jsonResponse("a body of some length");
                response.truncateBodyBy = 5;
                return response;
            });
            router.add("GET", "/gone", [](const HttpRequest&) {
                HttpResponse response;
                response.closeWithoutAnswer = true;
                return response;
            });
            router.add("GET", "/busy", [](const HttpRequest&) {
                return errorResponse(
                    { ErrorCode::ResourceExhausted, "queue full", Verdict::NotRun, Milliseconds(1500) });
            });
            router.add("GET", "/silent", [this](const HttpRequest&) {
                released.get_future().wait();
                return HttpResponse {};
            });
            server = std::make_unique<HttpServer>(router, HttpServerOptions {});
            REQUIRE(server->start());
            client = std::make_unique<HttpClient>("127.0.0.1:" + std::to_string(server->port()));
        }
    };

    TEST_CASE("requests reach their route with parameters and body")
    {
        EchoServer echo;
        for (int repeat = 0; repeat < 3; ++repeat) {
            const auto reply = echo.client->send("POST", "/echo/a%20b/rest?x=1", {}, "hello", timeout).value();
            CHECK(reply.status == 200);
            CHECK(nlohmann::json::parse(reply.body) == nlohmann::json({ { "name", "a b" }, { "body", "hello" } }));
        }
        CHECK(
            echo.client->send("PUT", "/kv/value/cells/a/lease", {}, "", timeout).value().body == "\"cells/a/lease\"\n");
        CHECK(echo.client->send("GET", "/echo/a/rest", {}, "", timeout).value().status == 405);
        CHECK(echo.client->send("GET", "/none", {}, "", timeout).value().status == 404);
    }

    TEST_CASE("a truncated or missing response is an error with MayHaveRun")
    {
        EchoServer echo;
        for (const char* path : { "/cut", "/gone" }) {
            const auto reply = echo.client->send("GET", path, {}, "", timeout);
            REQUIRE_FALSE(reply);
            CHECK(reply.error().verdict == Verdict::MayHaveRun);
        }
    }

    TEST_CASE("a request to a silent server fails at the time-out, on new and on reused connections")
    {
        EchoServer echo;
        const Milliseconds shortTimeout { 100 };
        for (const bool kept : { false, true }) {
            HttpClient client("127.0.0.1:" + std::to_string(echo.server->port()));
            if (kept)
                REQUIRE(client.send("GET", "/none", {}, "", timeout));
            echo.released = {};
            const auto reply = client.send("GET", "/silent", {}, "", shortTimeout);
            REQUIRE_FALSE(reply);
            CHECK(reply.error().verdict == Verdict::MayHaveRun);
            echo.released.set_value();
        }
    }

    TEST_CASE("a refused connection is an error with NotRun")
    {
        int port = 0;
        {
            EchoServer echo;
            port = echo.server->port();
        }
        HttpClient client("127.0.0.1:" + std::to_string(port));
        const auto reply = client.send("GET", "/echo", {}, "", timeout);
        REQUIRE_FALSE(reply);
        CHECK(reply.error().verdict == Verdict::NotRun);
    }

    TEST_CASE("an error keeps code, verdict and retry time over HTTP")
    {
        EchoServer echo;
        const auto reply = echo.client->send("GET", "/busy", {}, "", timeout).value();
        CHECK(reply.status == 429);
        CHECK(reply.headers.at("retry-after") == "2");
        const Error error = errorFromResponse(reply.status, reply.body);
        CHECK(error.code == ErrorCode::ResourceExhausted);
        CHECK(error.verdict == Verdict::NotRun);
        CHECK(error.retryAfter == Milliseconds(1500));
    }

} // namespace
} // namespace rosemarylink::transport
