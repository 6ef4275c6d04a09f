#include "GatewayFixture.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <thread>

namespace rosemarylink::gateway::testing {
namespace {

    enum class StallPoint {
        Connected, // reads nothing
        RequestHead, // reads the request's head and sends nothing
        ResponseHead, // stops inside the response's head
        ResponseBody, // stops inside the response's body
        FirstResponse, // responds to one request on each connection and to nothing after it
    };

    // An upstream whose connections become silent at the stall point without closing. New connections are accepted.
    class SilentUpstream {
    public:
        explicit SilentUpstream(StallPoint stallPoint)
            : stallPoint_(stallPoint)
            , listener_(Poco::Net::SocketAddress("127.0.0.1", 0))
            , thread_([this] { accept(); })
        {
        }

        ~SilentUpstream()
        {
            stopping_ = true;
            Poco::Net::StreamSocket().connect(listener_.address());
            thread_.join();
        }

        std::string address() const { return listener_.address().toString() + "/u/silent"; }
        int accepted() const { return accepted_; }

    private:
        void accept()
        {
            while (true) {
                Poco::Net::StreamSocket socket = listener_.acceptConnection();
                if (stopping_)
                    return;
                ++accepted_;
                if (stallPoint_ != StallPoint::Connected)
                    serve(socket);
                open_.push_back(socket);
            }
        }

        void serve(Poco::Net::StreamSocket& socket) const
        {
            std::string head;
            char byte = 0;
            while (head.find("\r\n\r\n") == std::string::npos && socket.receiveBytes(&byte, 1) == 1)
                head += byte;
            static const std::string name = "Rosemarylink-Request-Id: ";
            const auto start = head.find(name) + name.size();
            const std::string id = head.substr(start, head.find('\r', start) - start);
            const std::string response = "HTTP/1.1 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 2\r\n"
                                         "Rosemarylink-Request-Id: "
                + id + "\r\n\r\nok";
            const std::size_t length = stallPoint_ == StallPoint::RequestHead ? 0
                : stallPoint_ == StallPoint::ResponseHead                     ? response.size() / 2
                : stallPoint_ == StallPoint::ResponseBody                     ? response.size() - 1
                                                                              : response.size();
            socket.sendBytes(response.data(), static_cast<int>(length));
        }

        StallPoint stallPoint_;
        Poco::Net::ServerSocket listener_;
        std::atomic<bool> stopping_ { false };
        std::atomic<int> accepted_ { 0 };
        std::vector<Poco::Net::StreamSocket> open_;
        std::thread thread_;
    };

    settings_gateway::GatewaySettings silentSettings()
    {
        auto settings = makeSettings("gateway-1");
        settings.retryShare = 1;
        settings.progressTimeout = Milliseconds(100);
        settings.probeTimeout = Milliseconds(100);
        return settings;
    }

    TEST_CASE("an idempotent request completes at another upstream when its connection becomes silent")
    {
        const auto stallPoint = GENERATE(
            StallPoint::Connected, StallPoint::RequestHead, StallPoint::ResponseHead, StallPoint::ResponseBody);
        FakeStore store;
        SilentUpstream silent(stallPoint);
        UpstreamFleet fleet(1);
        auto specs = fleet.specs;
        specs.push_back(specs.front());
        specs.back().id = UpstreamId("silent");
        specs.back().address = silent.address();
        TestGateway gateway(store, specs, silentSettings());
        // Larger than the kernel's buffers, so that sending the request blocks when nothing is read.
        const std::string body(stallPoint == StallPoint::Connected ? 6000000 : 10, 'x');
        for (int index = 0; index < 50 && silent.accepted() == 0; ++index) {
            const auto reply = gateway.post(body).value();
            CHECK(reply.status == 200);
            CHECK(reply.body.size() == body.size() + headerOf(reply, "Rosemarylink-Request-Id").size() + 1);
        }
        CHECK(silent.accepted() > 0);
    }

    TEST_CASE("a non-idempotent request ends with MayHaveRun when its connection becomes silent")
    {
        const auto stallPoint = GENERATE(
            StallPoint::Connected, StallPoint::RequestHead, StallPoint::ResponseHead, StallPoint::ResponseBody);
        FakeStore store;
        SilentUpstream silent(stallPoint);
        UpstreamFleet fleet(1);
        auto specs = fleet.specs;
        specs.front().address = silent.address();
        TestGateway gateway(store, specs, silentSettings());
        const std::string body(stallPoint == StallPoint::Connected ? 6000000 : 10, 'x');
        const auto reply = gateway.postNonIdempotent(body, "key", { { "Rosemarylink-Timeout-Ms", "400" } }).value();
        CHECK(verdictOf(reply) == "MayHaveRun");
        CHECK(verdictOf(gateway.outcomeOf("key").value()) == "MayHaveRun");
        CHECK(silent.accepted() == 1);
    }

    TEST_CASE("an idle connection that became silent is replaced before a request is sent on it")
    {
        FakeStore store;
        SilentUpstream upstream(StallPoint::FirstResponse);
        UpstreamFleet fleet(1);
        auto specs = fleet.specs;
        specs.front().address = upstream.address();
        auto settings = silentSettings();
        settings.retryShare = 0;
        settings.probeAfter = Milliseconds(0);
        TestGateway gateway(store, specs, settings);
        CHECK(gateway.post("").value().status == 200);
        CHECK(gateway.post("").value().status == 200);
        CHECK(verdictOf(gateway.postNonIdempotent("", "key").value()) == "Ran");
        CHECK(upstream.accepted() == 3);
        CHECK(gateway.metrics.counter("rosemarylink_gateway_silent_connections_total", "").value() == 2);
    }

} // namespace
} // namespace rosemarylink::gateway::testing
