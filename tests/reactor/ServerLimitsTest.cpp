#include "rosemarylink/reactor/EventLoop.h"
#include "rosemarylink/reactor/LoopHttpServer.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylink::reactor {

namespace {

    constexpr std::size_t kilobyte = 1024;

    // A server whose handler keeps requests to /hold and answers others at once.
    class Fixture {
    public:
        explicit Fixture(const ConnectionLimits& limits)
            : loop(clock)
        {
            auto listening = LoopHttpServer::listen(
                loop, "127.0.0.1:0", limits, [this](const ServerRequest& request, const Responder& respond) {
                    ++handled;
                    if (request.head.getURI() == "/trigger")
                        onTrigger();
                    if (request.head.getURI() != "/hold" && onRequest)
                        onRequest();
                    if (request.head.getURI() == "/hold")
                        held.push_back(respond);
                    else
                        respond({ 200, "{}", {} });
                });
            server = std::move(listening).value();
            server->observe({ [this](const std::string& cause) { ++closed[cause]; },
                [this](const std::string& cause) { ++refused[cause]; } });
        }

        std::unique_ptr<Poco::Net::StreamSocket> connect() const
        {
            auto socket = std::make_unique<Poco::Net::StreamSocket>(Poco::Net::SocketAddress(server->address()));
            socket->setBlocking(false);
            return socket;
        }

        // A client whose kernel holds a small part of a response of some hundred kilobytes until it is received.
        std::unique_ptr<Poco::Net::StreamSocket> connectWithSmallBuffer() const
        {
            auto socket = connect();
            socket->setReceiveBufferSize(static_cast<int>(16 * kilobyte));
            return socket;
        }

        // Runs the loop until the condition holds, for at most 5 s of real time.
        bool runUntil(const std::function<bool()>& condition)
        {
            const SystemClock real;
            const Milliseconds deadline = real.monotonic() + Milliseconds(5000);
            bool fulfilled = false;
            loop.run([&] {
                fulfilled = condition();
                if (fulfilled || real.monotonic() > deadline)
                    loop.stop();
                loop.after(Milliseconds(0), [] {}); // so that the next iteration does not wait for events
            });
            return fulfilled;
        }

        // Lets the server's time pass and its timers run.
        void pass(Milliseconds time)
        {
            const Milliseconds end = clock.monotonic() + time;
            runUntil([this, end] {
                clock.advance(Milliseconds(100));
                return clock.monotonic() >= end;
            });
        }

        ManualClock clock;
        EventLoop loop;
        std::unique_ptr<LoopHttpServer> server;
        std::vector<Responder> held;
        std::function<void()> onTrigger;
        std::map<std::string, int> closed;
        std::map<std::string, int> refused;
        int handled = 0;
        std::function<void()> onRequest; // called before a request other than /hold is answered, if set
    };

    // Sends as much as the socket accepts and returns how much that is.
    std::size_t send(Poco::Net::StreamSocket& socket, const std::string& bytes)
    {
        try {
            const int count = socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            return count < 0 ? 0 : static_cast<std::size_t>(count);
        } catch (const Poco::Exception&) {
            return 0; // the server has closed the connection
        }
    }

    // Appends what has arrived to `text`.
    void receive(Poco::Net::StreamSocket& socket, std::string& text)
    {
        std::string part(64 * kilobyte, '\0');
        try {
            const int count = socket.receiveBytes(part.data(), static_cast<int>(part.size()));
            if (count > 0)
                text.append(part, 0, static_cast<std::size_t>(count));
        } catch (const Poco::Exception&) { // nothing has arrived
        }
    }

    ConnectionLimits testLimits()
    {
        ConnectionLimits limits;
        limits.message = { 4 * kilobyte, 256 * kilobyte };
        limits.connections = 8;
        limits.bufferedBytes = 1024 * kilobyte;
        limits.requestBytes = 1024 * kilobyte;
        limits.kernelBufferBytes = 16 * kilobyte;
        limits.kernelSendBufferBytes = 16 * kilobyte;
        limits.headTimeout = Milliseconds(10000);
        limits.responseTimeout = Milliseconds(30000);
        return limits;
    }

    std::string post(const std::string& target, std::size_t bodyBytes)
    {
        return "POST " + target + " HTTP/1.1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    }

} // namespace

// Guards against a process that buffers what a client sends while its earlier request is in progress.
TEST_CASE("nothing beyond a small read-ahead is read while a request is in progress")
{
    Fixture fixture(testLimits());
    const auto client = fixture.connect();
    send(*client, "GET /hold HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return fixture.held.size() == 1; }));
    const std::string more(64 * kilobyte, 'x');
    std::size_t largest = 0;
    int iterations = 0;
    fixture.runUntil([&] {
        send(*client, more);
        largest = std::max(largest, fixture.server->budget().bufferedBytes());
        return ++iterations == 200;
    });
    CHECK(largest <= 16 * kilobyte);
}

// Guards against a process that buffers requests and responses of a client that does not read.
TEST_CASE("a client that pipelines requests and reads no response is no longer read and is closed after the limit")
{
    Fixture fixture(testLimits());
    const auto client = fixture.connect();
    std::string requests;
    while (requests.size() < 64 * kilobyte)
        requests += "GET / HTTP/1.1\r\n\r\n";
    std::size_t largest = 0;
    int iterations = 0;
    int handledBefore = 0;
    int unchanged = 0;
    CHECK(fixture.runUntil([&] {
        send(*client, requests);
        largest = std::max(largest, fixture.server->budget().bufferedBytes());
        unchanged = fixture.handled == handledBefore ? unchanged + 1 : 0;
        handledBefore = fixture.handled;
        return ++iterations > 1000 && unchanged > 100;
    }));
    CHECK(largest <= 128 * kilobyte);
    fixture.pass(Milliseconds(25000));
    CHECK(fixture.server->connections() == 1);
    fixture.pass(Milliseconds(10000));
    CHECK(fixture.server->connections() == 0);
    CHECK(fixture.closed["unread-response"] == 1);
}

// Guards against a body over the limit that is received, and against a refusal that comes only after it.
TEST_CASE("a body that is announced over the limit is refused with 413 before it arrives")
{
    Fixture fixture(testLimits());
    const auto client = fixture.connect();
    send(*client, post("/", 256 * kilobyte + 1));
    std::string response;
    CHECK(fixture.runUntil([&] {
        receive(*client, response);
        return response.find("413") != std::string::npos && fixture.server->connections() == 0;
    }));
    CHECK(fixture.refused["body-limit"] == 1);
    CHECK(fixture.handled == 0);
}

// Guards against a limit that refuses the largest legal request.
TEST_CASE("a body of the largest legal size is handled")
{
    Fixture fixture(testLimits());
    const auto client = fixture.connect();
    const std::string request = post("/", 256 * kilobyte) + std::string(256 * kilobyte, 'x');
    std::size_t sent = 0;
    std::string response;
    CHECK(fixture.runUntil([&] {
        sent += send(*client, request.substr(sent));
        receive(*client, response);
        return response.find("200 OK") != std::string::npos;
    }));
    CHECK(fixture.server->budget().bufferedBytes() < 64 * kilobyte);
}

// Guards against requests whose parsed form exceeds the memory, and against a refused request that has run.
TEST_CASE("a request for which the budget has no room gets 503 with Retry-After and does not reach the handler")
{
    Fixture fixture(testLimits());
    const auto first = fixture.connect();
    const auto second = fixture.connect();
    const std::string request = post("/hold", 100 * kilobyte) + std::string(100 * kilobyte, 'x');
    std::size_t firstSent = 0;
    REQUIRE(fixture.runUntil([&] {
        firstSent += send(*first, request.substr(firstSent));
        return fixture.held.size() == 1;
    }));
    std::size_t secondSent = 0;
    std::string response;
    CHECK(fixture.runUntil([&] {
        secondSent += send(*second, request.substr(secondSent));
        receive(*second, response);
        return response.find("\r\n\r\n{") != std::string::npos;
    }));
    CHECK(response.find("503") != std::string::npos);
    CHECK(response.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(fixture.handled == 1);
    CHECK(fixture.refused["request-budget"] == 1);
    fixture.held.front()({ 200, "{}", {} });
    CHECK(fixture.server->budget().requestBytes() == 0);
    send(*second, "GET / HTTP/1.1\r\n\r\n");
    CHECK(fixture.runUntil([&] { return fixture.handled == 2; }));
}

// Guards against unfinished requests that stay forever, and against a rule that closes a slow but steady caller.
TEST_CASE("a request that stops arriving is closed and one that keeps arriving is not")
{
    Fixture fixture(testLimits());
    const auto slowHead = fixture.connect();
    const auto stopped = fixture.connect();
    const auto steady = fixture.connect();
    const auto idle = fixture.connect();
    send(*slowHead, "POST / HTTP/1.1\r\n");
    send(*stopped, post("/", 10 * kilobyte) + std::string(10 * kilobyte - 16, 'x'));
    send(*steady, post("/", 256 * kilobyte));
    for (int second = 0; second < 30; ++second) {
        send(*steady, std::string(5 * kilobyte, 'x'));
        fixture.pass(Milliseconds(1000));
        if (second == 8)
            CHECK(fixture.server->connections() == 4);
    }
    CHECK(fixture.closed["slow-head"] == 1);
    CHECK(fixture.closed["slow-body"] == 1);
    CHECK(fixture.server->connections() == 2);
}

// Guards against a caller that shuts down its sending side after a request and gets no response.
TEST_CASE("a client that closes its sending side after a request gets the response")
{
    Fixture fixture(testLimits());
    const auto client = fixture.connect();
    send(*client, "GET /hold HTTP/1.1\r\n\r\n");
    client->shutdownSend();
    REQUIRE(fixture.runUntil([&] { return fixture.held.size() == 1; }));
    fixture.pass(Milliseconds(1000));
    fixture.held.front()({ 200, "{}", {} });
    std::string response;
    CHECK(fixture.runUntil([&] {
        receive(*client, response);
        return response.find("200 OK") != std::string::npos;
    }));
    CHECK(fixture.runUntil([&] { return fixture.server->connections() == 0; }));
}

// Guards against a connection that is closed in the middle of its response because bytes of its client are reported in
// the iteration in which reading was paused.
TEST_CASE("a connection whose client sends while a response begins is not closed")
{
    ConnectionLimits limits = testLimits();
    limits.connections = 32;
    limits.bufferedBytes = ConnectionLimits::unlimited;
    Fixture fixture(limits);
    std::vector<std::unique_ptr<Poco::Net::StreamSocket>> clients;
    constexpr std::size_t clientCount = 16;
    clients.reserve(clientCount);
    for (std::size_t count = 0; count < clientCount; ++count) {
        clients.push_back(fixture.connect());
        send(*clients.back(), "GET /hold HTTP/1.1\r\n\r\n");
    }
    REQUIRE(fixture.runUntil([&] { return fixture.held.size() == clientCount; }));
    // Starts all responses while one connection is handled; others may have been reported as readable before.
    fixture.onTrigger = [&fixture] {
        for (const Responder& respond : std::exchange(fixture.held, {}))
            respond({ 200, std::string(200 * kilobyte, 'x'), {} });
    };
    const auto trigger = fixture.connect();
    REQUIRE(fixture.runUntil([&] { return fixture.server->connections() == clientCount + 1; }));
    for (const auto& client : clients)
        send(*client, "GET / HTTP/1.1\r\n\r\n");
    send(*trigger, "GET /trigger HTTP/1.1\r\n\r\n");
    int iterations = 0;
    fixture.runUntil([&iterations] { return ++iterations > 20; });
    CHECK(fixture.held.empty());
    CHECK(fixture.server->connections() == clientCount + 1);
}

// Guards against a connection that has failed while it is not read, and that is reported in each iteration or stays.
TEST_CASE("a connection that is reset while it is not read is closed")
{
    Fixture fixture(testLimits());
    auto client = fixture.connect();
    send(*client, "GET /hold HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return fixture.held.size() == 1; }));
    send(*client, "GET / HTTP/1.1\r\n\r\n"); // pauses reading
    int iterations = 0;
    fixture.runUntil([&iterations] { return ++iterations > 20; });
    CHECK(fixture.server->connections() == 1);
    client->setLinger(true, 0); // the close resets the connection
    client.reset();
    CHECK(fixture.runUntil([&] { return fixture.server->connections() == 0; }));
}

// Guards against connections without a bound, and against requests in progress that are closed for new connections.
TEST_CASE("connections over the limit close unused ones and none with a request in progress")
{
    Fixture fixture(testLimits());
    const auto inProgress = fixture.connect();
    send(*inProgress, "GET /hold HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return fixture.held.size() == 1; }));
    std::vector<std::unique_ptr<Poco::Net::StreamSocket>> crowd;
    crowd.reserve(40);
    for (int count = 0; count < 40; ++count)
        crowd.push_back(fixture.connect());
    CHECK(fixture.runUntil([&] { return fixture.closed["connection-budget"] == 33; }));
    CHECK(fixture.server->connections() == 8);
    fixture.held.front()({ 200, "{}", {} });
    std::string response;
    CHECK(fixture.runUntil([&] {
        receive(*inProgress, response);
        return response.find("200 OK") != std::string::npos;
    }));
}

// Guards against idle connections whose empty buffers use up the budget, after which unfinished requests are refused.
TEST_CASE("an idle connection keeps little buffer memory")
{
    Fixture fixture(testLimits());
    const auto client = fixture.connectWithSmallBuffer();
    const std::string request = post("/hold", 12 * kilobyte) + std::string(12 * kilobyte, 'x');
    std::size_t sent = 0;
    REQUIRE(fixture.runUntil([&] {
        sent += send(*client, request.substr(sent));
        return fixture.held.size() == 1;
    }));
    const std::string body(500 * kilobyte, 'x');
    fixture.held.front()({ 200, body, {} });
    REQUIRE(fixture.server->budget().bufferedBytes() > 4 * kilobyte); // a part of the response is not sent
    std::string response;
    REQUIRE(fixture.runUntil([&] {
        receive(*client, response);
        return response.size() > body.size();
    }));
    CHECK(fixture.runUntil([&] { return fixture.server->budget().bufferedBytes() <= 4 * kilobyte; }));
    CHECK(fixture.server->connections() == 1);

    const auto other = fixture.connect();
    sent = 0;
    const std::string small = post("/", 12 * kilobyte) + std::string(12 * kilobyte, 'x');
    REQUIRE(fixture.runUntil([&] {
        sent += send(*other, small.substr(sent));
        return fixture.handled == 2;
    }));
    CHECK(fixture.server->budget().bufferedBytes() <= 8 * kilobyte);
}

// Guards against clients that fill the budget with heads alone.
TEST_CASE("a body counts as it arrives and not when its head announces it")
{
    Fixture fixture(testLimits());
    const std::string head = post("/", 256 * kilobyte);
    std::vector<std::unique_ptr<Poco::Net::StreamSocket>> clients;
    for (int count = 0; count < 6; ++count) {
        clients.push_back(fixture.connect());
        send(*clients.back(), head);
    }
    CHECK(fixture.runUntil([&] { return fixture.server->budget().bufferedBytes() >= 6 * head.size(); }));
    CHECK(fixture.server->connections() == 6);
    CHECK(fixture.server->budget().bufferedBytes() <= 6 * kilobyte);

    // The memory follows what has arrived, and never exceeds the size of the request by more than one step.
    const std::string body(256 * kilobyte, 'x');
    std::size_t sent = 0;
    std::size_t largest = 0;
    CHECK(fixture.runUntil([&] {
        sent += send(*clients.front(), body.substr(sent));
        largest = std::max(largest, fixture.server->budget().bufferedBytes());
        return fixture.handled == 1;
    }));
    CHECK(largest <= 256 * kilobyte + 6 * kilobyte);
}

// Guards against a drained server that waits for a client which keeps its connection open after the last response.
TEST_CASE("a connection whose response is partly sent when the server drains is closed after the response")
{
    Fixture fixture(testLimits());
    const auto client = fixture.connectWithSmallBuffer();
    send(*client, "GET /hold HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return fixture.held.size() == 1; }));
    const std::string body(500 * kilobyte, 'x');
    fixture.held.front()({ 200, body, {} });
    fixture.server->drain();
    CHECK(fixture.server->connections() == 1);
    std::string response;
    CHECK(fixture.runUntil([&] {
        receive(*client, response);
        return response.size() > body.size() && fixture.server->connections() == 0;
    }));
    CHECK(response.size() > body.size());
}

// Guards against requests with large heads that are held without being counted.
TEST_CASE("a request in progress counts with its head and its body")
{
    Fixture fixture(testLimits());
    const auto client = fixture.connect();
    const std::string request = "POST /hold HTTP/1.1\r\nX-Padding: " + std::string(3 * kilobyte, 'x')
        + "\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x');
    send(*client, request);
    REQUIRE(fixture.runUntil([&] { return fixture.held.size() == 1; }));
    CHECK(fixture.server->budget().requestBytes() == ConnectionBudget::requestCost(request.size()));
    fixture.held.front()({ 200, "{}", {} });
    CHECK(fixture.server->budget().requestBytes() == 0);
}

// Guards against a response that is cut off because its client's next bytes were reported in the same poll.
TEST_CASE("a response that is made while a readable event of its connection is pending is sent whole")
{
    ConnectionLimits limits = testLimits();
    limits.bufferedBytes = ConnectionLimits::unlimited;
    Fixture fixture(limits);
    const std::string body(300 * kilobyte, 'x');
    constexpr std::size_t clientCount = 8;
    std::vector<std::unique_ptr<Poco::Net::StreamSocket>> clients;
    clients.reserve(clientCount);
    while (clients.size() < clientCount)
        clients.push_back(fixture.connectWithSmallBuffer());
    fixture.onRequest = [&] {
        for (const Responder& respond : std::exchange(fixture.held, {}))
            respond({ 200, body, {} });
    };
    // The order of events within a poll is not defined, so each client once sends the request that makes the responses
    // to the others, whose further bytes have just arrived.
    for (const auto& releasing : clients) {
        for (const auto& client : clients) {
            if (client != releasing)
                send(*client, "GET /hold HTTP/1.1\r\n\r\n");
        }
        REQUIRE(fixture.runUntil([&] { return fixture.held.size() == clients.size() - 1; }));
        for (const auto& client : clients) {
            if (client != releasing)
                send(*client, "\r\n");
        }
        send(*releasing, "GET / HTTP/1.1\r\n\r\n");
        std::vector<std::string> responses(clients.size());
        REQUIRE(fixture.runUntil([&] {
            bool complete = true;
            for (std::size_t index = 0; index < clients.size(); ++index) {
                receive(*clients[index], responses[index]);
                const std::size_t headEnd = responses[index].find("\r\n\r\n");
                const std::size_t bodyBytes = clients[index] == releasing ? 2 : body.size();
                complete
                    = complete && headEnd != std::string::npos && responses[index].size() == headEnd + 4 + bodyBytes;
            }
            return complete;
        }));
    }
    CHECK(fixture.server->connections() == clients.size());
}

// Guards against counts that do not return to zero, until every client is refused.
TEST_CASE("the counts of a server end at zero after any sequence of opened, fed, held and closed connections")
{
    rc::prop("zero", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        const auto pick
            = [&random](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
        ConnectionLimits limits = testLimits();
        limits.bufferedBytes = 300 * kilobyte;
        Fixture fixture(limits);
        const std::vector<std::string> messages { "GET / HTTP/1.1\r\n\r\n", "GET /hold HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\n\r\nGET /hold HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n", post("/", 2) + "{",
            post("/hold", 100 * kilobyte) + std::string(100 * kilobyte, 'x'), post("/", 1000 * kilobyte), "\r\n\r\n",
            "POST / HT" };
        std::vector<std::unique_ptr<Poco::Net::StreamSocket>> clients;
        for (int step = 0; step < 60; ++step) {
            const std::size_t client = clients.empty() ? 0 : pick(clients.size());
            switch (clients.empty() ? 0 : pick(6)) {
            case 0:
                clients.push_back(fixture.connect());
                break;
            case 1:
                clients.erase(clients.begin() + static_cast<std::ptrdiff_t>(client));
                break;
            case 2:
                if (!fixture.held.empty()) {
                    const Responder respond = fixture.held.back();
                    fixture.held.pop_back();
                    respond({ 200, std::string(pick(100 * kilobyte), 'x'), {} });
                }
                break;
            case 3:
                fixture.pass(Milliseconds(100 * static_cast<std::int64_t>(pick(50))));
                break;
            default:
                send(*clients[client], messages[pick(messages.size())]);
            }
            int iterations = 0;
            fixture.runUntil([&iterations] { return ++iterations > 3; });
        }
        clients.clear();
        const ConnectionBudget& budget = fixture.server->budget();
        fixture.runUntil([&fixture, &budget] {
            for (const Responder& respond : std::exchange(fixture.held, {}))
                respond({ 200, "{}", {} });
            return budget.connections() == 0;
        });
        RC_ASSERT(budget.requestBytes() == 0U);
        RC_ASSERT(budget.connections() == 0U);
        RC_ASSERT(budget.bufferedBytes() == 0U);
        RC_ASSERT(budget.peers() == 0U);
    });
}

} // namespace rosemarylink::reactor
