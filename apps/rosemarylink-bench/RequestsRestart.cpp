#include "RequestsBench.h"
#include "RequestsCallers.h"
#include "RequestsFleet.h"

#include <atomic>
#include <shared_mutex>
#include <thread>

namespace rosemarylink::bench {

namespace {

    constexpr int gateways = 4;
    constexpr int callers = 24;
    constexpr Milliseconds limit { 20000 };
    constexpr Milliseconds announceTime { 200 };
    constexpr Milliseconds betweenRestarts { 200 };

    // The platform's load balancer: callers get the gateways that are ready in turn.
    class LoadBalancer {
    public:
        explicit LoadBalancer(const std::vector<int>& ports)
            : ports_(ports)
        {
        }

        int choose()
        {
            const std::shared_lock lock(mutex_);
            return ports_[next_++ % ports_.size()];
        }

        void replace(std::vector<int> ports)
        {
            const std::unique_lock lock(mutex_);
            ports_ = std::move(ports);
        }

    private:
        std::shared_mutex mutex_;
        std::vector<int> ports_;
        std::atomic<std::size_t> next_ { 0 };
    };

    struct RestartTotals {
        std::atomic<std::int64_t> sent { 0 };
        std::atomic<std::int64_t> whole { 0 };
        std::atomic<std::int64_t> cutOff { 0 }; // neither a whole answer nor a certain NotRun
    };

    void call(LoadBalancer& balancer, const std::atomic<bool>& stop, RestartTotals& totals, int caller)
    {
        std::map<int, std::unique_ptr<transport::HttpClient>> clients;
        for (int number = 0; !stop; ++number) {
            BenchRequest request { std::to_string(caller) + "/" + std::to_string(number), {} };
            if (number % 5 == 0)
                request.headers["Rosemarylink-Idempotent"] = "false";
            ++totals.sent;
            bool settled = false;
            // A gateway that has not taken the request leaves it to the load balancer's next one.
            for (int attempt = 0; attempt < gateways && !settled; ++attempt) {
                const int port = balancer.choose();
                auto& client = clients[port];
                if (!client)
                    client = std::make_unique<transport::HttpClient>("127.0.0.1:" + std::to_string(port));
                const auto reply = sendRequest(*client, request, limit);
                const bool notRun
                    = reply ? verdictOf(reply.value()) == "NotRun" : reply.error().verdict == Verdict::NotRun;
                if (notRun)
                    continue;
                settled = true;
                const bool whole = reply && isOwnAnswer(reply.value(), request.body);
                ++(whole ? totals.whole : totals.cutOff);
            }
            totals.cutOff += settled ? 0 : 1;
        }
    }

    std::int64_t rollingRestart(std::uint64_t seed, bool drains, std::int64_t& whole)
    {
        FleetOptions options;
        options.upstreams.serviceTime = Milliseconds(10);
        options.upstreams.seed = seed;
        UpstreamFleet fleet(options);
        MemoryStore store(seed, 0);
        std::vector<std::unique_ptr<ProductGateway>> made(gateways);
        const auto start = [&](std::size_t index, int port) {
            GatewayOptions gatewayOptions;
            gatewayOptions.id = "gateway-" + std::to_string(index);
            gatewayOptions.gateways = gateways;
            gatewayOptions.port = port;
            gatewayOptions.threads = 64;
            made[index] = std::make_unique<ProductGateway>(store, fleet.specs(), gatewayOptions);
        };
        std::vector<int> ports;
        for (std::size_t index = 0; index < made.size(); ++index) {
            start(index, 0);
            ports.push_back(made[index]->port());
        }
        LoadBalancer balancer(ports);
        RestartTotals totals;
        std::atomic<bool> stop { false };
        std::thread load([&] { runThreads(callers, [&](int caller) { call(balancer, stop, totals, caller); }); });
        for (std::size_t index = 0; index < made.size(); ++index) {
            std::this_thread::sleep_for(betweenRestarts);
            std::vector<int> others = ports;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
            if (drains) {
                // /readyz turns to 503; the load balancer notices within the announced time.
                made[index]->service().closeConnectionsAfterResponses();
                std::this_thread::sleep_for(announceTime / 2);
                balancer.replace(others);
                std::this_thread::sleep_for(announceTime / 2);
                made[index]->drain(limit);
            } else {
                made[index]->stopAtOnce();
                balancer.replace(others);
            }
            made[index].reset();
            start(index, ports[index]);
            balancer.replace(ports);
        }
        std::this_thread::sleep_for(betweenRestarts);
        stop = true;
        load.join();
        whole = totals.whole;
        return totals.cutOff;
    }

} // namespace

RequestMeasures measureRestart(std::uint64_t seed)
{
    std::int64_t whole = 0;
    std::int64_t wholeOfBaseline = 0;
    const auto product = static_cast<double>(rollingRestart(seed, true, whole));
    const auto baseline = static_cast<double>(rollingRestart(seed, false, wholeOfBaseline));
    return {
        { "cut off by a rolling restart", product, "requests", baseline, 0, false, product },
        { "whole answers during the rolling restart", static_cast<double>(whole), "requests",
            static_cast<double>(wholeOfBaseline), {}, false, 0 },
    };
}

} // namespace rosemarylink::bench
