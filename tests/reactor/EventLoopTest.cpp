#include "rosemarylink/reactor/EventLoop.h"
#include "rosemarylink/reactor/LoopHttpClient.h"
#include "rosemarylink/reactor/LoopHttpServer.h"

#include <catch2/catch.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace rosemarylink::reactor {

// Guards against an exception in one event handler that ends the process and with it all other requests.
TEST_CASE("an exception in an event handler does not end the loop")
{
    const SystemClock clock;
    EventLoop loop(clock);
    bool later = false;
    loop.after(Milliseconds(0), [] { throw std::runtime_error("unexpected"); });
    loop.after(Milliseconds(5), [&loop, &later] {
        later = true;
        loop.stop();
    });
    loop.run([] {});
    REQUIRE(later);
}

// Guards against callers that wait until their deadline for a request whose handler failed.
TEST_CASE("a request whose handler throws is ended at once and the next one is served")
{
    const SystemClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    bool failed = false;
    auto server
        = LoopHttpServer::listen(loop, "127.0.0.1:0", {}, [](const ServerRequest& request, const Responder& respond) {
              if (request.body == "bad")
                  throw std::runtime_error("unexpected");
              respond({ 200, "{}", {} });
          });
    REQUIRE(server.has_value());
    const std::string address = server.value()->address();
    bool served = false;
    client.send(address, { "POST", "/", {}, "bad", Milliseconds(60000) }, [&](const Result<ClientResponse>& first) {
        failed = !first && first.error().verdict == Verdict::MayHaveRun;
        client.send(address, { "POST", "/", {}, "", Milliseconds(5000) }, [&](const Result<ClientResponse>& second) {
            served = second.has_value();
            loop.stop();
        });
    });
    loop.run([] {});
    CHECK(failed);
    CHECK(served);
}

// Guards against responses that are delivered to the wrong request, and against a server that accepts connections after
// it was drained.
TEST_CASE("a client reuses connections to a server until the server is drained")
{
    const SystemClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    auto server
        = LoopHttpServer::listen(loop, "127.0.0.1:0", {}, [](const ServerRequest& request, const Responder& respond) {
              respond({ 200, "{\"echo\":" + request.body + "}", {} });
          });
    REQUIRE(server.has_value());
    const std::string address = server.value()->address();
    constexpr int calls = 20;
    int answered = 0;
    std::optional<Verdict> afterDrain;
    std::function<void()> next = [&] {
        const std::string body = std::to_string(answered);
        client.send(
            address, { "POST", "/", {}, body, Milliseconds(1000) }, [&, body](const Result<ClientResponse>& response) {
                CHECK(response.has_value());
                CHECK(response.value().body == "{\"echo\":" + body + "}");
                if (++answered < calls) {
                    next();
                    return;
                }
                server.value()->drain();
                loop.after(Milliseconds(20), [&] {
                    client.send(
                        address, { "GET", "/", {}, "", Milliseconds(300) }, [&](const Result<ClientResponse>& refused) {
                            if (!refused)
                                afterDrain = refused.error().verdict;
                            loop.stop();
                        });
                });
            });
    };
    next();
    loop.run([] {});
    CHECK(answered == calls);
    CHECK(client.connectionsOpened() <= 2);
    CHECK(afterDrain == Verdict::NotRun);
}

// Guards against connections of silent callers that stay open until the process has no file descriptors left, and
// against a limit that cuts a request in progress or a connection in use.
TEST_CASE("a server closes connections that are idle for the limit and no others")
{
    ManualClock clock;
    EventLoop loop(clock);
    std::vector<Responder> held;
    auto listening = LoopHttpServer::listen(
        loop, "127.0.0.1:0", {}, [&held](const ServerRequest& request, const Responder& respond) {
            if (request.head.getURI() == "/hold")
                held.push_back(respond);
            else
                respond({ 200, "{}", {} });
        });
    REQUIRE(listening.has_value());
    LoopHttpServer& server = *listening.value();
    server.closeIdleConnections(Milliseconds(80000));
    const Poco::Net::SocketAddress address(server.address());
    Poco::Net::StreamSocket silent(address);
    Poco::Net::StreamSocket partial(address);
    Poco::Net::StreamSocket waiting(address);
    Poco::Net::StreamSocket inUse(address);
    const auto send = [](Poco::Net::StreamSocket& socket, const std::string& text) {
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
    };
    send(partial, "POST / HTTP/1.1\r\nContent-");
    send(waiting, "GET /hold HTTP/1.1\r\n\r\n");
    const auto isClosed = [](Poco::Net::StreamSocket& socket) {
        char byte = 0;
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && socket.receiveBytes(&byte, 1) == 0;
    };
    const std::function<void()> keepAwake = [&] { loop.after(Milliseconds(1), keepAwake); };
    keepAwake();
    Milliseconds elapsed { 0 };
    loop.run([&] {
        constexpr Milliseconds step { 2500 };
        constexpr Milliseconds requestInterval { 50000 };
        constexpr Milliseconds inUseUntil { 400000 };
        clock.advance(step);
        elapsed += step;
        if (elapsed % requestInterval == Milliseconds(0) && elapsed <= inUseUntil)
            send(inUse, "GET / HTTP/1.1\r\n\r\n");
        if (elapsed == Milliseconds(75000))
            CHECK(server.connections() == 4);
        if (elapsed == Milliseconds(100000)) {
            CHECK(server.connections() == 2);
            CHECK(isClosed(silent));
            CHECK(isClosed(partial));
        }
        if (elapsed == inUseUntil) {
            CHECK(server.connections() == 2);
            CHECK(server.idleConnectionsClosed() == 2);
            REQUIRE(held.size() == 1);
            held.front()({ 200, "{}", {} });
            CHECK(waiting.poll(Poco::Timespan(1, 0), Poco::Net::Socket::SELECT_READ));
        }
        if (elapsed == inUseUntil + Milliseconds(75000))
            CHECK(server.connections() == 2);
        if (elapsed == inUseUntil + Milliseconds(100000)) {
            CHECK(server.connections() == 0);
            CHECK(server.idleConnectionsClosed() == 4);
            loop.stop();
        }
    });
}

// Guards against requests that wait indefinitely for a server that does not respond.
TEST_CASE("a request without a response times out and is reported as MayHaveRun")
{
    const SystemClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    auto server = LoopHttpServer::listen(loop, "127.0.0.1:0", {}, [](const ServerRequest&, const Responder&) {});
    REQUIRE(server.has_value());
    std::optional<Verdict> verdict;
    client.send(server.value()->address(), { "GET", "/", {}, "", Milliseconds(50) },
        [&](const Result<ClientResponse>& response) {
            if (!response)
                verdict = response.error().verdict;
            loop.stop();
        });
    loop.run([] {});
    REQUIRE(verdict == Verdict::MayHaveRun);
}

namespace {

    // Sends a response to the first connection in parts, at an interval of the loop's clock.
    class SlowServer final : public SocketHandler, public std::enable_shared_from_this<SlowServer> {
    public:
        SlowServer(EventLoop& loop, std::vector<std::string> parts, Milliseconds interval)
            : loop_(loop)
            , parts_(std::move(parts))
            , interval_(interval)
        {
        }

        std::string listen()
        {
            listener_.bind(Poco::Net::SocketAddress("127.0.0.1:0"));
            listener_.listen();
            loop_.watch(listener_, false, shared_from_this());
            return listener_.address().toString();
        }

        void onReadable() override
        {
            loop_.unwatch(listener_);
            connection_ = listener_.acceptConnection();
            sendNext();
        }
        void onWritable() override { }

    private:
        void sendNext()
        {
            if (sent_ == parts_.size())
                return;
            const std::string& part = parts_[sent_++];
            connection_.sendBytes(part.data(), static_cast<int>(part.size()));
            loop_.after(interval_, [self = shared_from_this()] { self->sendNext(); });
        }

        EventLoop& loop_;
        std::vector<std::string> parts_;
        Milliseconds interval_;
        Poco::Net::ServerSocket listener_;
        Poco::Net::StreamSocket connection_;
        std::size_t sent_ = 0;
    };

    // Sends a request with a timeout of 400 ms to a server that sends the parts every 100 ms.
    Result<ClientResponse> fetchFromSlowServer(
        const std::vector<std::string>& parts, TimeoutScope scope = TimeoutScope::Progress)
    {
        ManualClock clock;
        EventLoop loop(clock);
        LoopHttpClient client(loop);
        const auto server = std::make_shared<SlowServer>(loop, parts, Milliseconds(100));
        Result<ClientResponse> received = unavailable("no response", Verdict::NotRun);
        client.send(server->listen(), { "GET", "/", {}, "", Milliseconds(400), scope },
            [&](const Result<ClientResponse>& response) {
                received = response;
                loop.stop();
            });
        loop.run([&clock] { clock.advance(Milliseconds(50)); });
        return received;
    }

} // namespace

// Guards against giving up a large response that a slow link carries in more than the timeout (inc1).
TEST_CASE("a response that keeps arriving is received even if it takes longer than the timeout")
{
    const std::vector<std::string> parts { "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", "1", "2", "3", "4", "5", "6",
        "7" };
    const Result<ClientResponse> response = fetchFromSlowServer(parts);
    REQUIRE(response.has_value());
    REQUIRE(response.value().body == "1234567");
}

// Guards against calls that occupy a slow link after their caller has given up.
TEST_CASE("a request whose whole call is limited times out although its response keeps arriving")
{
    std::vector<std::string> parts(8, "1");
    parts.front() = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n";
    const Result<ClientResponse> response = fetchFromSlowServer(parts, TimeoutScope::WholeCall);
    REQUIRE(!response);
    REQUIRE(response.error().verdict == Verdict::MayHaveRun);
}

// Guards against waiting indefinitely for the rest of a response.
TEST_CASE("a response that stops arriving times out")
{
    const Result<ClientResponse> response
        = fetchFromSlowServer({ "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", "1", "2" });
    REQUIRE(!response);
    REQUIRE(response.error().verdict == Verdict::MayHaveRun);
}

namespace {

    // While it exists, the system refuses to watch sockets: the descriptors of all event loops of the process are
    // replaced by another file.
    class RefusedWatches {
    public:
        RefusedWatches()
        {
            for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
                std::error_code ended; // the descriptor of the directory itself is no longer open
                if (std::filesystem::read_symlink(entry.path(), ended) == "anon_inode:[eventpoll]")
                    replace(std::stoi(entry.path().filename()));
            }
        }
        ~RefusedWatches()
        {
            for (const auto& [descriptor, copy] : copies_) {
                ::dup2(copy, descriptor);
                ::close(copy);
            }
        }
        RefusedWatches(const RefusedWatches&) = delete;
        RefusedWatches& operator=(const RefusedWatches&) = delete;

    private:
        void replace(int descriptor)
        {
            copies_.emplace_back(descriptor, ::dup(descriptor));
            const int other = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
            ::dup2(other, descriptor);
            ::close(other);
        }

        std::vector<std::pair<int, int>> copies_; // descriptors, each with its copy
    };

    // While it exists, the process cannot open any further descriptor.
    class NoFreeDescriptors {
    public:
        NoFreeDescriptors()
        {
            ::getrlimit(RLIMIT_NOFILE, &previous_);
            const rlimit none { 0, previous_.rlim_max };
            ::setrlimit(RLIMIT_NOFILE, &none);
        }
        ~NoFreeDescriptors() { ::setrlimit(RLIMIT_NOFILE, &previous_); }
        NoFreeDescriptors(const NoFreeDescriptors&) = delete;
        NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

    private:
        rlimit previous_ {};
    };

    // Runs a loop for longer than a request's timeout of 400 ms on the loop's clock.
    void runPastTimeout(EventLoop& loop, ManualClock& clock)
    {
        int iterations = 0;
        loop.run([&] {
            clock.advance(Milliseconds(50));
            if (++iterations == 20)
                loop.stop();
        });
    }

    ClientRequest plainRequest() { return { "GET", "/", {}, "", Milliseconds(400) }; }

    // Collects the errors that reach the handler of one request.
    struct Failures {
        std::vector<Error> errors;
        ResponseHandler handler()
        {
            return [this](const Result<ClientResponse>& response) {
                REQUIRE(!response);
                errors.push_back(response.error());
            };
        }
    };

} // namespace

// Guards against a caller that never hears of its request because the system refused to watch the new socket.
TEST_CASE("a request whose socket cannot be watched fails exactly once")
{
    ManualClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    auto server = LoopHttpServer::listen(loop, "127.0.0.1:0", {}, [](const ServerRequest&, const Responder& respond) {
        respond({ 200, "{}", {} });
    });
    REQUIRE(server.has_value());
    Failures failures;
    {
        const RefusedWatches refused;
        REQUIRE_NOTHROW(client.send(server.value()->address(), plainRequest(), failures.handler()));
        CHECK(failures.errors.empty());
    }
    runPastTimeout(loop, clock);
    REQUIRE(failures.errors.size() == 1);
    CHECK(failures.errors[0].verdict == Verdict::NotRun);
}

// Guards against an exception that leaves through the caller of send() and ends what the caller does.
TEST_CASE("a request on a reused connection that cannot be watched fails exactly once")
{
    ManualClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    auto server = LoopHttpServer::listen(loop, "127.0.0.1:0", {}, [](const ServerRequest&, const Responder& respond) {
        respond({ 200, "{}", {} });
    });
    REQUIRE(server.has_value());
    const std::string address = server.value()->address();
    Failures failures;
    bool sentAgain = false;
    client.send(address, plainRequest(), [&](const Result<ClientResponse>& first) {
        REQUIRE(first.has_value());
        loop.after(Milliseconds(0), [&] {
            const RefusedWatches refused;
            client.send(address, plainRequest(), failures.handler());
            sentAgain = true;
        });
    });
    runPastTimeout(loop, clock);
    CHECK(sentAgain);
    CHECK(client.connectionsOpened() == 1);
    REQUIRE(failures.errors.size() == 1);
    CHECK(failures.errors[0].verdict == Verdict::MayHaveRun);
}

// Guards against a caller that never hears of its request because the process has no descriptor left, or because the
// address in a worker's registration is not one.
TEST_CASE("a request that cannot open a connection fails exactly once")
{
    ManualClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    Failures failures;
    std::size_t expected = 1;
    SECTION("no free descriptor")
    {
        const NoFreeDescriptors none;
        client.send("127.0.0.1:1", plainRequest(), failures.handler());
    }
    SECTION("malformed address")
    {
        const std::vector<std::string> addresses { "127.0.0.1:99999", "127.0.0.1", "", ":", "127.0.0.1:x", "[::1" };
        for (const std::string& address : addresses)
            client.send(address, plainRequest(), failures.handler());
        expected = addresses.size();
    }
    CHECK(failures.errors.empty());
    runPastTimeout(loop, clock);
    REQUIRE(failures.errors.size() == expected);
    for (const Error& error : failures.errors)
        CHECK(error.verdict == Verdict::NotRun);
}

// Guards against a request that fails because of an exception in the handler of the request before it on the same
// connection.
TEST_CASE("a response handler that throws is called once and does not affect the next request")
{
    ManualClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    auto server = LoopHttpServer::listen(loop, "127.0.0.1:0", {}, [](const ServerRequest&, const Responder& respond) {
        respond({ 200, "{}", {} });
    });
    REQUIRE(server.has_value());
    const std::string address = server.value()->address();
    int firstCalls = 0;
    int secondResponses = 0;
    client.send(address, plainRequest(), [&](const Result<ClientResponse>&) {
        ++firstCalls;
        client.send(address, plainRequest(),
            [&](const Result<ClientResponse>& second) { secondResponses += second.has_value() ? 1 : 100; });
        throw std::runtime_error("unexpected");
    });
    runPastTimeout(loop, clock);
    CHECK(firstCalls == 1);
    CHECK(secondResponses == 1);
    CHECK(client.connectionsOpened() == 1);
}

// Guards against a response that the server sends twice and that is taken for the response to the next request.
TEST_CASE("a second response to a request is not the response to the next request")
{
    ManualClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
    const std::vector<std::string> parts { response + response, response };
    const auto server = std::make_shared<SlowServer>(loop, parts, Milliseconds(100));
    const std::string address = server->listen();
    int firstResponses = 0;
    Failures failures; // of the second request, to which the server does not respond
    client.send(address, plainRequest(), [&](const Result<ClientResponse>& first) {
        firstResponses += first.has_value() ? 1 : 0;
        client.send(address, plainRequest(), failures.handler());
    });
    runPastTimeout(loop, clock);
    CHECK(firstResponses == 1);
    CHECK(failures.errors.size() == 1);
}

} // namespace rosemarylink::reactor
