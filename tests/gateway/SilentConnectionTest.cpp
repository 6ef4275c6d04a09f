#include "GatewayFixture.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <thread>

namespace rosemarylink::gateway::testing {
namespace {

    enum class SilentFrom {
        Start, // reads nothing
        Request, // reads the request's head and sends nothing
        Head, // stops inside the answer's head
        Body, // stops inside the answer's body
        Answer, // answers one request on each connection and nothing after it
    };

    // An upstream whose connections go silent without closing. New connections are accepted.
    class SilentUpstream {
    public:
        explicit SilentUpstream(SilentFrom from)
            : from_(from)
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
                if (from_ != SilentFrom::Start)
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
            const std::string answer = "HTTP/1.1 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 2\r\n"
                                       "Rosemarylink-Request-Id: "
                + id + "\r\n\r\nok";
            const std::size_t length = from_ == SilentFrom::Request ? 0
                : from_ == SilentFrom::Head                         ? answer.size() / 2
                : from_ == SilentFrom::Body                         ? answer.size() - 1
                                                                    : answer.size();
            socket.sendBytes(answer.data(), static_cast<int>(length));
        }

        SilentFrom from_;
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

    TEST_CASE("a connection that goes silent while a request is on it ends an idempotent request elsewhere")
    {
        const auto from = GENERATE(SilentFrom::Start, SilentFrom::Request, SilentFrom::Head, SilentFrom::Body);
        FakeStore store;
        SilentUpstream silent(from);
        UpstreamFleet fleet(1);
        auto specs = fleet.specs;
        specs.push_back(specs.front());
        specs.back().id = UpstreamId("silent");
        specs.back().address = silent.address();
        TestGateway gateway(store, specs, silentSettings());
        // Larger than what the kernel buffers, so that the request itself gets stuck when nothing is read.
        const std::string body(from == SilentFrom::Start ? 6000000 : 10, 'x');
        for (int index = 0; index < 50 && silent.accepted() == 0; ++index) {
            const auto reply = gateway.post(body).value();
            CHECK(reply.status == 200);
            CHECK(reply.body.size() == body.size() + headerOf(reply, "Rosemarylink-Request-Id").size() + 1);
        }
        CHECK(silent.accepted() > 0);
    }

    TEST_CASE("a connection that goes silent while a non-idempotent request is on it ends it as MayHaveRun in time")
    {
        const auto from = GENERATE(SilentFrom::Start, SilentFrom::Request, SilentFrom::Head, SilentFrom::Body);
        FakeStore store;
        SilentUpstream silent(from);
        UpstreamFleet fleet(1);
        auto specs = fleet.specs;
        specs.front().address = silent.address();
        TestGateway gateway(store, specs, silentSettings());
        const std::string body(from == SilentFrom::Start ? 6000000 : 10, 'x');
        const auto reply = gateway.postOnce(body, "key", { { "Rosemarylink-Timeout-Ms", "400" } }).value();
        CHECK(verdictOf(reply) == "MayHaveRun");
        CHECK(verdictOf(gateway.outcomeOf("key").value()) == "MayHaveRun");
        CHECK(silent.accepted() == 1);
    }

    TEST_CASE("an idle connection that went silent is replaced before a request is sent on it")
    {
        FakeStore store;
        SilentUpstream upstream(SilentFrom::Answer);
        UpstreamFleet fleet(1);
        auto specs = fleet.specs;
        specs.front().address = upstream.address();
        auto settings = silentSettings();
        settings.retryShare = 0;
        settings.probeAfter = Milliseconds(0);
        TestGateway gateway(store, specs, settings);
        CHECK(gateway.post("").value().status == 200);
        CHECK(gateway.post("").value().status == 200);
        CHECK(verdictOf(gateway.postOnce("", "key").value()) == "Ran");
        CHECK(upstream.accepted() == 3);
        CHECK(gateway.metrics.counter("rosemarylink_gateway_silent_connections_total", "").value() == 2);
    }

} // namespace
} // namespace rosemarylink::gateway::testing
