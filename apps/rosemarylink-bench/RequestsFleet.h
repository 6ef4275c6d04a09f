#pragma once

#include "rosemarylink/gateway/RequestService.h"
#include "rosemarylink/standin/StandInUpstream.h"
#include "rosemarylink/transport/HttpClient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemarylink::bench {

// In-memory store for the gateways of one measurement; it supports only read() and compareAndSwap(), from any thread. A
// share of the writes, chosen at random, takes effect but loses the reply and returns an error with verdict MayHaveRun.
class MemoryStore final : public state::KeyValueStore {
public:
    MemoryStore(std::uint64_t seed, double replyLossRate);

    Result<std::optional<state::StoredValue>> read(const std::string& key) override;
    Result<std::vector<state::KeyedValue>> list(const std::string& prefix) override;
    Result<Revision> compareAndSwap(const std::string& key, Revision expected, const std::string& bytes,
        const std::optional<LeaseId>& lease) override;
    Status remove(const std::string& key, Revision expected) override;
    Result<LeaseId> grantLease(Milliseconds) override;
    Status renewLease(const LeaseId&) override;
    Status revokeLease(const LeaseId&) override;
    Result<std::vector<state::WatchEvent>> watch(const std::string&, Revision, Milliseconds) override;

private:
    std::mutex mutex_;
    std::mt19937_64 random_;
    double replyLossRate_;
    std::int64_t revision_ = 0;
    std::unordered_map<std::string, state::StoredValue> values_;
};

struct FleetOptions {
    std::vector<std::string> regions { "palermo" };
    int upstreamsPerRegion = 4;
    int slotsPerUpstream = 8;
    // Each connection to the upstreams' server holds a thread, even while idle. With too few threads, new connections
    // wait until idle ones time out.
    int serverThreads = 400;
    standin::StandInUpstreamOptions upstreamOptions;
};

// Stand-in upstreams of the service "invoices" on one loopback server.
class UpstreamFleet {
public:
    explicit UpstreamFleet(const FleetOptions&);
    ~UpstreamFleet();

    standin::StandInUpstream& upstreams() { return upstreams_; }
    const std::vector<model::UpstreamSpec>& specs() const { return specs_; }

    // Sets a function that is called on the server's threads for each request that arrives, with the upstream's index
    // in specs(). Call this before requests are sent.
    void setObserver(std::function<void(std::size_t upstream, const transport::HttpRequest&)>);

private:
    standin::StandInUpstream upstreams_;
    transport::HttpRouter upstreamRouter_;
    transport::HttpRouter observingRouter_;
    std::function<void(std::size_t, const transport::HttpRequest&)> observer_;
    std::unique_ptr<transport::HttpServer> server_;
    std::vector<model::UpstreamSpec> specs_;
};

// A gateway under measurement, the product's or the baseline's, that serves requests on a loopback port.
class BenchGateway {
public:
    virtual ~BenchGateway() = default;
    virtual int port() const = 0;
};

struct GatewayOptions {
    std::string id = "gateway-1";
    std::string region = "palermo";
    std::size_t gatewayCount = 1;
    int port = 0;
    int threads = 160;
    Milliseconds progressTimeout { 5000 };
};

// Key of the client account "bench", which sends all requests.
constexpr const char* benchAccountKey = "bench-key";

// The product's request path with its HTTP server.
class ProductGateway final : public BenchGateway {
public:
    ProductGateway(state::KeyValueStore&, const std::vector<model::UpstreamSpec>&, const GatewayOptions&);

    int port() const override { return server_->port(); }
    gateway::RequestService& service() { return service_; }
    // Runs the steps that follow announceLeaving() on SIGTERM: refuses new requests, waits for those in progress and
    // stops the server. Call this after the load balancer has removed the gateway. Each step takes at most `limit`;
    // false if requests were still in progress then.
    bool drain(Milliseconds limit);
    // Stops without waiting for requests in progress.
    void stopImmediately() { server_->stop(Milliseconds(0)); }

private:
    SystemClock clock_;
    MetricsRegistry metrics_;
    transport::HttpRouter router_;
    gateway::RequestService service_;
    std::unique_ptr<transport::HttpServer> server_;
};

// The baseline: sends each request to the next upstream in turn or to a random one. After a failure or a status of 500
// or above, it chooses again and retries, at most three times.
class BaselineGateway final : public BenchGateway {
public:
    enum class Routing { RoundRobin, Random };
    BaselineGateway(const std::vector<model::UpstreamSpec>&, Routing, std::uint64_t seed, int threads = 160);

    int port() const override { return server_->port(); }

private:
    struct Target {
        std::string path;
        std::unique_ptr<transport::HttpClient> client;
    };

    transport::HttpResponse serve(const transport::HttpRequest&);
    std::size_t chooseTarget();

    std::vector<Target> targets_;
    Routing routing_;
    std::atomic<std::size_t> next_ { 0 };
    std::mutex mutex_;
    std::mt19937_64 random_;
    transport::HttpRouter router_;
    std::unique_ptr<transport::HttpServer> server_;
};

// Starts a server on loopback; port 0 chooses a free port. On failure, prints the error and ends the process with exit
// code 2, since nothing can be measured without the server.
std::unique_ptr<transport::HttpServer> startServer(const transport::HttpRouter&, int threads, int port = 0);

} // namespace rosemarylink::bench
