#include "rosemarylink/base/Clock.h"
#include "rosemarylink/transport/HttpClient.h"
#include "rosemarylink/transport/HttpServer.h"

#include <catch2/catch.hpp>

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rosemarylink::transport {
namespace {

    constexpr Milliseconds timeout { 5000 };

    // A server with one thread, whose requests to /hold wait until they are released.
    class Fixture {
    public:
        explicit Fixture(HttpServerOptions options = {})
        {
            router.add("GET", "/hold", [this](const HttpRequest& request) {
                std::unique_lock lock(mutex);
                ++held;
                changed.notify_all();
                while (!released && !(watchesClient && request.clientGone()))
                    changed.wait_for(lock, Milliseconds(5));
                sawClientGone = !released;
                changed.notify_all();
                return jsonResponse("held");
            });
            router.add("POST", "/echo", [](const HttpRequest& request) { return jsonResponse(request.body.size()); });
            options.threads = 1;
            options.queuedRequests = 1;
            server = std::make_unique<HttpServer>(router, options);
            REQUIRE(server->start());
            address = "127.0.0.1:" + std::to_string(server->port());
        }
        ~Fixture() { release(); }

        void release()
        {
            const std::lock_guard lock(mutex);
            released = true;
            changed.notify_all();
        }

        bool waitFor(const std::function<bool()>& condition)
        {
            std::unique_lock lock(mutex);
            return changed.wait_for(lock, timeout, condition);
        }

        HttpRouter router;
        std::mutex mutex;
        std::condition_variable changed;
        int held = 0;
        bool released = false;
        bool watchesClient = false;
        bool sawClientGone = false;
        std::unique_ptr<HttpServer> server;
        std::string address;
    };

    std::string receiveAll(Poco::Net::StreamSocket& socket)
    {
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        std::string received;
        char buffer[4096];
        for (int count = 1; count > 0;) {
            count = socket.receiveBytes(buffer, sizeof buffer);
            received.append(buffer, static_cast<std::size_t>(count));
        }
        return received;
    }

    // Guards against clients that occupy all threads of a server with requests that do not arrive.
    TEST_CASE("a request whose body does not arrive takes no thread")
    {
        Fixture fixture;
        std::vector<Poco::Net::StreamSocket> slow;
        for (int number = 0; number < 20; ++number) {
            slow.emplace_back(Poco::Net::SocketAddress(fixture.address));
            const std::string head = "POST /echo HTTP/1.1\r\nHost: host\r\nContent-Length: 1000\r\n\r\nx";
            slow.back().sendBytes(head.data(), static_cast<int>(head.size()));
        }
        HttpClient client(fixture.address);
        const auto reply = client.send("POST", "/echo", {}, "hello", timeout);
        REQUIRE(reply);
        CHECK(reply.value().body == "5\n");
    }

    // Guards against requests that wait for a thread without a limit, and against a refusal without the verdict NotRun.
    TEST_CASE("a request is refused with NotRun when all threads are busy and the queue is full")
    {
        Fixture fixture;
        constexpr int callerCount = 2;
        std::vector<std::thread> callers;
        callers.reserve(callerCount);
        std::atomic<int> answered { 0 };
        for (int number = 0; number < callerCount; ++number) {
            callers.emplace_back([&fixture, &answered] {
                HttpClient client(fixture.address);
                answered += client.send("GET", "/hold", {}, "", timeout) ? 1 : 0;
            });
        }
        REQUIRE(fixture.waitFor([&fixture] { return fixture.held == 1; }));
        HttpClient client(fixture.address);
        int status = 0;
        const SystemClock clock;
        const Milliseconds deadline = clock.monotonic() + timeout;
        // The second caller's request may arrive after this one and be the one that is refused.
        while (status != 503 && clock.monotonic() < deadline) {
            const auto reply = client.send("GET", "/hold", {}, "", Milliseconds(100));
            if (!reply)
                continue;
            status = reply.value().status;
            CHECK(errorFromResponse(status, reply.value().body).verdict == Verdict::NotRun);
            CHECK(reply.value().headers.at("retry-after") == "1");
        }
        CHECK(status == 503);
        fixture.release();
        for (std::thread& caller : callers)
            caller.join();
        CHECK(answered >= 1);
    }

    TEST_CASE("a body over the limit and a body without a length are refused with NotRun")
    {
        Fixture fixture;
        for (const char* const field : { "Content-Length: 9000000", "Transfer-Encoding: chunked" }) {
            Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(fixture.address) };
            const std::string head = "POST /echo HTTP/1.1\r\nHost: host\r\n" + std::string(field) + "\r\n\r\n";
            socket.sendBytes(head.data(), static_cast<int>(head.size()));
            const std::string response = receiveAll(socket);
            CHECK(response.find("HTTP/1.1 4") == 0);
            CHECK(response.find("Rosemarylink-Verdict: NotRun") != std::string::npos);
        }
    }

    // Guards against clients that wait a while before they send a long body.
    TEST_CASE("a client that asks first is told to send its body")
    {
        Fixture fixture;
        Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(fixture.address) };
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        const std::string head
            = "POST /echo HTTP/1.1\r\nHost: host\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
        socket.sendBytes(head.data(), static_cast<int>(head.size()));
        const std::string expected = "HTTP/1.1 100 Continue\r\n\r\n";
        std::string received(expected.size(), ' ');
        CHECK(socket.receiveBytes(received.data(), static_cast<int>(received.size())) > 0);
        CHECK(received == expected);
        socket.sendBytes("abc", 3);
        socket.shutdownSend();
        CHECK(receiveAll(socket).find("HTTP/1.1 200 OK") == 0);
    }

    TEST_CASE("a handler notices that its client has disconnected")
    {
        Fixture fixture;
        fixture.watchesClient = true;
        {
            Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(fixture.address) };
            const std::string head = "GET /hold HTTP/1.1\r\nHost: host\r\n\r\n";
            socket.sendBytes(head.data(), static_cast<int>(head.size()));
            REQUIRE(fixture.waitFor([&fixture] { return fixture.held == 1; }));
        }
        CHECK(fixture.waitFor([&fixture] { return fixture.sawClientGone; }));
    }

    // Guards against a response that is lost because the server stops.
    TEST_CASE("a server that stops sends the responses of requests in progress")
    {
        Fixture fixture;
        HttpClient client(fixture.address);
        bool answered = false;
        std::thread caller([&] { answered = static_cast<bool>(client.send("GET", "/hold", {}, "", timeout)); });
        REQUIRE(fixture.waitFor([&fixture] { return fixture.held == 1; }));
        std::thread stopping([&fixture] { CHECK(fixture.server->stop(timeout)); });
        fixture.release();
        stopping.join();
        caller.join();
        CHECK(answered);
    }

} // namespace
} // namespace rosemarylink::transport
