#include "rosemarylink/transport/WebSocketLinks.h"

#include "SilentRelay.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

namespace rosemarylink::transport {
namespace {

    constexpr Milliseconds testTimeout { 20000 };
    const InstanceId alpha("alpha");
    const InstanceId beta("beta");

    // Polls a condition that another thread changes. Returns true once it holds, false after the time-out.
    bool eventually(const std::function<bool()>& condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + testTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::yield();
        }
        return true;
    }

    bool connected(const WebSocketLinks& links, const InstanceId& peer)
    {
        const auto peers = links.connectedPeers();
        return std::find(peers.begin(), peers.end(), peer) != peers.end();
    }

    LinkOptions quickOptions(const InstanceId& self)
    {
        LinkOptions options;
        options.self = self;
        options.pingInterval = Milliseconds(50);
        options.receiveTimeout = Milliseconds(400);
        options.minimumBackoff = Milliseconds(10);
        options.maximumBackoff = Milliseconds(100);
        return options;
    }

    void addEcho(WebSocketLinks& links)
    {
        links.setHandler(
            "echo", [](const InstanceId&, const nlohmann::json& body) -> Result<nlohmann::json> { return body; });
        links.setHandler("refuse", [](const InstanceId&, const nlohmann::json&) -> Result<nlohmann::json> {
            return Error { ErrorCode::ResourceExhausted, "queue full", Verdict::NotRun, Milliseconds(1500) };
        });
    }

    struct LinkPair {
        WebSocketLinks first { quickOptions(alpha) };
        WebSocketLinks second { quickOptions(beta) };

        LinkPair()
        {
            addEcho(first);
            addEcho(second);
        }

        void connect()
        {
            REQUIRE(first.start());
            REQUIRE(second.start());
            first.setPeers({ { beta, "127.0.0.1", second.port() } });
            second.setPeers({ { alpha, "127.0.0.1", first.port() } });
            REQUIRE(eventually([&] { return connected(first, beta) && connected(second, alpha); }));
        }
    };

    TEST_CASE("calls work in both directions over one connection and large messages arrive complete")
    {
        LinkPair pair;
        pair.connect();
        const nlohmann::json large = { { "text", std::string(1 << 20, 'x') }, { "number", 7 } };
        CHECK(pair.first.call(beta, "echo", large, testTimeout).value() == large);
        CHECK(pair.second.call(alpha, "echo", large, testTimeout).value() == large);
        CHECK(pair.first.bytesTransferred() > 4 * (1 << 20));
    }

    // Answers may arrive in another order than the calls.
    TEST_CASE("concurrent calls each receive their own answer")
    {
        LinkPair pair;
        pair.connect();
        std::vector<std::future<bool>> outcomes;
        outcomes.reserve(8);
        for (int thread = 0; thread < 8; ++thread) {
            outcomes.push_back(std::async(std::launch::async, [&pair, thread] {
                for (int round = 0; round < 50; ++round) {
                    const nlohmann::json body = { { "thread", thread }, { "round", round } };
                    const auto answer = pair.first.call(beta, "echo", body, testTimeout);
                    if (!answer || answer.value() != body)
                        return false;
                }
                return true;
            }));
        }
        for (auto& outcome : outcomes)
            CHECK(outcome.get());
    }

    TEST_CASE("notifications of one peer are handled in the order in which they were sent")
    {
        LinkPair pair;
        std::mutex mutex;
        std::vector<int> seen;
        pair.second.setHandler("count", [&](const InstanceId& from, const nlohmann::json& body) {
            const std::lock_guard lock(mutex);
            seen.push_back(from == alpha ? body.at("n").get<int>() : -1);
            return Result<nlohmann::json>(nlohmann::json::object());
        });
        pair.connect();
        for (int n = 0; n < 200; ++n)
            pair.first.notify(beta, "count", { { "n", n } });
        REQUIRE(eventually([&] {
            const std::lock_guard lock(mutex);
            return seen.size() == 200;
        }));
        CHECK(std::is_sorted(seen.begin(), seen.end()));
    }

    TEST_CASE("an error from a peer keeps its code, verdict and retry time")
    {
        LinkPair pair;
        pair.connect();
        const auto answer = pair.first.call(beta, "refuse", nlohmann::json::object(), testTimeout);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ErrorCode::ResourceExhausted);
        CHECK(answer.error().verdict == Verdict::NotRun);
        CHECK(answer.error().retryAfter == Milliseconds(1500));
        const auto unknown = pair.first.call(beta, "nothing", nlohmann::json::object(), testTimeout);
        REQUIRE_FALSE(unknown);
        CHECK(unknown.error().code == ErrorCode::Unsupported);
        CHECK(unknown.error().verdict == Verdict::NotRun);
    }

    TEST_CASE("a call without a connection fails with NotRun")
    {
        LinkPair pair;
        pair.connect();
        const auto answer = pair.first.call(InstanceId("nobody"), "echo", nlohmann::json::object(), testTimeout);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ErrorCode::Unavailable);
        CHECK(answer.error().verdict == Verdict::NotRun);
    }

    TEST_CASE("messages above the limit are rejected and the connection stays open")
    {
        LinkPair pair;
        pair.second.setHandler("grow", [](const InstanceId&, const nlohmann::json&) {
            return Result<nlohmann::json>(nlohmann::json { { "text", std::string(5 << 20, 'x') } });
        });
        pair.connect();
        const auto request = pair.first.call(beta, "echo", { { "text", std::string(5 << 20, 'x') } }, testTimeout);
        REQUIRE_FALSE(request);
        CHECK(request.error().code == ErrorCode::InvalidArgument);
        CHECK(request.error().verdict == Verdict::NotRun);
        const auto answer = pair.first.call(beta, "grow", nlohmann::json::object(), testTimeout);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().verdict == Verdict::Ran);
        CHECK(pair.first.call(beta, "echo", { { "n", 1 } }, testTimeout).value() == nlohmann::json { { "n", 1 } });
    }

    // A handler that blocks until the test releases it, so that the test can act while a call is in progress.
    struct BlockingHandler {
        std::promise<void> release;
        std::shared_future<void> released { release.get_future().share() };
        std::atomic<bool> entered { false };

        InstanceLinks::Handler handler()
        {
            return [this](const InstanceId&, const nlohmann::json&) -> Result<nlohmann::json> {
                entered = true;
                released.wait();
                return nlohmann::json { { "late", true } };
            };
        }
    };

    TEST_CASE("a call with a late answer fails with MayHaveRun, and the late answer does not complete another call")
    {
        BlockingHandler held;
        LinkPair pair;
        pair.second.setHandler("hold", held.handler());
        pair.connect();
        const auto late = pair.first.call(beta, "hold", nlohmann::json::object(), Milliseconds(200));
        REQUIRE_FALSE(late);
        CHECK(late.error().code == ErrorCode::DeadlineExceeded);
        CHECK(late.error().verdict == Verdict::MayHaveRun);
        held.release.set_value();
        for (int n = 0; n < 20; ++n)
            CHECK(pair.first.call(beta, "echo", { { "n", n } }, testTimeout).value() == nlohmann::json { { "n", n } });
    }

    // Blocked calls must not delay notifications, or heartbeats would be missed while the store is slow.
    TEST_CASE("notifications are handled while every call thread is blocked")
    {
        BlockingHandler held;
        std::atomic<int> notified { 0 };
        LinkPair pair;
        pair.second.setHandler("hold", held.handler());
        pair.second.setHandler("count", [&](const InstanceId&, const nlohmann::json&) {
            ++notified;
            return Result<nlohmann::json>(nlohmann::json::object());
        });
        pair.connect();
        std::vector<std::future<bool>> calls;
        calls.reserve(6);
        for (int n = 0; n < 6; ++n)
            calls.push_back(std::async(std::launch::async,
                [&] { return pair.first.call(beta, "hold", nlohmann::json::object(), testTimeout).has_value(); }));
        REQUIRE(eventually([&] { return held.entered.load(); }));
        pair.first.notify(beta, "count", nlohmann::json::object());
        CHECK(eventually([&] { return notified == 1; }));
        held.release.set_value();
        for (auto& call : calls)
            CHECK(call.get());
    }

    TEST_CASE("a call in progress fails with MayHaveRun when its peer stops, and the connection is reopened")
    {
        BlockingHandler held;
        WebSocketLinks first(quickOptions(alpha));
        REQUIRE(first.start());
        auto second = std::make_unique<WebSocketLinks>(quickOptions(beta));
        second->setHandler("hold", held.handler());
        REQUIRE(second->start());
        const int port = second->port();
        first.setPeers({ { beta, "127.0.0.1", port } });
        REQUIRE(eventually([&] { return connected(first, beta); }));
        auto call = std::async(
            std::launch::async, [&] { return first.call(beta, "hold", nlohmann::json::object(), testTimeout); });
        REQUIRE(eventually([&] { return held.entered.load(); }));
        auto stopped = std::async(std::launch::async, [&] { second->stop(); });
        const auto answer = call.get();
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ErrorCode::Unavailable);
        CHECK(answer.error().verdict == Verdict::MayHaveRun);
        held.release.set_value();
        stopped.get();
        REQUIRE(eventually([&] { return !connected(first, beta); }));

        LinkOptions options = quickOptions(beta);
        options.port = port;
        WebSocketLinks again(options);
        addEcho(again);
        REQUIRE(again.start());
        REQUIRE(eventually([&] { return connected(first, beta); }));
        CHECK(first.call(beta, "echo", { { "n", 1 } }, testTimeout).has_value());
    }

    TEST_CASE("a silent connection is replaced and its pending call fails with MayHaveRun")
    {
        WebSocketLinks first(quickOptions(alpha));
        WebSocketLinks second(quickOptions(beta));
        addEcho(second);
        REQUIRE(first.start());
        REQUIRE(second.start());
        SilentRelay relay(second.port());
        first.setPeers({ { beta, "127.0.0.1", relay.port() } });
        REQUIRE(eventually([&] { return connected(first, beta); }));
        CHECK(first.call(beta, "echo", { { "n", 1 } }, testTimeout).has_value());

        relay.silenceOpenConnections();
        const auto lost = first.call(beta, "echo", { { "n", 2 } }, testTimeout);
        REQUIRE_FALSE(lost);
        CHECK(lost.error().verdict == Verdict::MayHaveRun);
        REQUIRE(eventually([&] { return relay.accepted() == 2 && connected(first, beta); }));
        CHECK(first.call(beta, "echo", { { "n", 3 } }, testTimeout).has_value());
    }

    // The platform's list may contain an address that has been reassigned to another instance.
    TEST_CASE("a connection to an instance with another id is not used")
    {
        WebSocketLinks first(quickOptions(alpha));
        WebSocketLinks second(quickOptions(beta));
        REQUIRE(first.start());
        REQUIRE(second.start());
        SilentRelay relay(second.port());
        first.setPeers({ { InstanceId("gamma"), "127.0.0.1", relay.port() } });
        REQUIRE(eventually([&] { return relay.accepted() >= 2; }));
        CHECK(first.connectedPeers().empty());
    }

    TEST_CASE("a peer that leaves the list is disconnected")
    {
        WebSocketLinks first(quickOptions(alpha));
        WebSocketLinks second(quickOptions(beta));
        REQUIRE(first.start());
        REQUIRE(second.start());
        first.setPeers({ { beta, "127.0.0.1", second.port() } });
        REQUIRE(eventually([&] { return connected(first, beta) && connected(second, alpha); }));
        first.setPeers({});
        CHECK(eventually([&] { return !connected(first, beta) && !connected(second, alpha); }));
    }

    // An unbounded queue would run calls after their callers have timed out.
    TEST_CASE("calls beyond the queue limit fail with NotRun and a retry time")
    {
        LinkOptions options = quickOptions(beta);
        options.maximumQueuedCalls = 0;
        WebSocketLinks first(quickOptions(alpha));
        WebSocketLinks second(options);
        addEcho(second);
        REQUIRE(first.start());
        REQUIRE(second.start());
        first.setPeers({ { beta, "127.0.0.1", second.port() } });
        REQUIRE(eventually([&] { return connected(first, beta); }));
        const auto answer = first.call(beta, "echo", nlohmann::json::object(), testTimeout);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ErrorCode::ResourceExhausted);
        CHECK(answer.error().verdict == Verdict::NotRun);
        CHECK(answer.error().retryAfter.has_value());
    }

    TEST_CASE("pending calls fail when the links stop, and later calls fail with NotRun")
    {
        BlockingHandler held;
        LinkPair pair;
        pair.second.setHandler("hold", held.handler());
        pair.connect();
        auto call = std::async(
            std::launch::async, [&] { return pair.first.call(beta, "hold", nlohmann::json::object(), testTimeout); });
        REQUIRE(eventually([&] { return held.entered.load(); }));
        pair.first.stop();
        const auto answer = call.get();
        REQUIRE_FALSE(answer);
        CHECK(answer.error().verdict == Verdict::MayHaveRun);
        held.release.set_value();
        const auto later = pair.first.call(beta, "hold", nlohmann::json::object(), testTimeout);
        REQUIRE_FALSE(later);
        CHECK(later.error().verdict == Verdict::NotRun);
    }

    TEST_CASE("an address in use is reported")
    {
        WebSocketLinks first(quickOptions(alpha));
        REQUIRE(first.start());
        LinkOptions options = quickOptions(beta);
        options.port = first.port();
        // Address reuse must not permit a second listener on the same port.
        WebSocketLinks second(options);
        const auto status = second.start();
        REQUIRE_FALSE(status);
        CHECK(status.error().code == ErrorCode::Unavailable);
    }

} // namespace
} // namespace rosemarylink::transport
