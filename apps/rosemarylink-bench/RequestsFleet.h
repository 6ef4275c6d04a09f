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

// A store in memory whose writes take effect and lose their replies at random.
class MemoryStore final : public state::KeyValueStore {
public:
    MemoryStore(std::uint64_t seed, double lostReplies);

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
    double lostReplies_;
    std::int64_t revision_ = 0;
    std::unordered_map<std::string, state::StoredValue> values_;
};

struct FleetOptions {
    std::vector<std::string> regions { "palermo" };
    int upstreamsPerRegion = 4;
    int slots = 8;
    // Each connection to the upstreams' server holds a thread, idle ones included; with too few, new connections wait
    // for the idle time-out of others.
    int threads = 400;
    standin::StandInUpstreamOptions upstreams;
};

// Stand-in upstreams of the service "invoices" on one loopback server.
class UpstreamFleet {
public:
    explicit UpstreamFleet(const FleetOptions&);
    ~UpstreamFleet();

    standin::StandInUpstream& upstreams() { return upstreams_; }
    const std::vector<model::UpstreamSpec>& specs() const { return specs_; }

    // Called for each request that arrives, with the upstream's index in specs().
    void setObserver(std::function<void(std::size_t upstream, const transport::HttpRequest&)>);

private:
    standin::StandInUpstream upstreams_;
    transport::HttpRouter inner_;
    transport::HttpRouter outer_;
    std::function<void(std::size_t, const transport::HttpRequest&)> observer_;
    std::unique_ptr<transport::HttpServer> server_;
    std::vector<model::UpstreamSpec> specs_;
};

// Something that callers send requests to.
class BenchGateway {
public:
    virtual ~BenchGateway() = default;
    virtual int port() const = 0;
};

struct GatewayOptions {
    std::string id = "gateway-1";
    std::string region = "palermo";
    std::size_t gateways = 1;
    int port = 0;
    int threads = 160;
    Milliseconds progressTimeout { 5000 };
};

constexpr const char* benchKey = "bench-key";

// The product's request path with its HTTP server.
class ProductGateway final : public BenchGateway {
public:
    ProductGateway(state::KeyValueStore&, const std::vector<model::UpstreamSpec>&, const GatewayOptions&);

    int port() const override { return server_->port(); }
    gateway::RequestService& service() { return service_; }
    // Leaves as on SIGTERM, in steps, after the load balancer has taken it off its list.
    bool drain(Milliseconds limit);
    // Stops without regard to requests in progress.
    void stopAtOnce() { server_->stop(Milliseconds(0)); }

private:
    SystemClock clock_;
    MetricsRegistry metrics_;
    transport::HttpRouter router_;
    gateway::RequestService service_;
    std::unique_ptr<transport::HttpServer> server_;
};

// The baseline: sends each request to the next upstream, or a random one, and again to the next after any failure,
// three times at most.
class BaselineGateway final : public BenchGateway {
public:
    enum class Choice { RoundRobin, Random };
    BaselineGateway(const std::vector<model::UpstreamSpec>&, Choice, std::uint64_t seed, int threads = 160);

    int port() const override { return server_->port(); }

private:
    struct Target {
        std::string path;
        std::unique_ptr<transport::HttpClient> client;
    };

    transport::HttpResponse serve(const transport::HttpRequest&);
    std::size_t choose();

    std::vector<Target> targets_;
    Choice choice_;
    std::atomic<std::size_t> next_ { 0 };
    std::mutex mutex_;
    std::mt19937_64 random_;
    transport::HttpRouter router_;
    std::unique_ptr<transport::HttpServer> server_;
};

// Starts a server or ends the process with a message: nothing can be measured without it.
std::unique_ptr<transport::HttpServer> startServer(const transport::HttpRouter&, int threads, int port = 0);

} // namespace rosemarylink::bench
