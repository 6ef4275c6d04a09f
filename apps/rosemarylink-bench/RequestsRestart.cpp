#include "RequestsCallers.h"
#include "RequestsFleet.h"
#include "RequestsMeasures.h"

#include <atomic>
#include <shared_mutex>
#include <thread>

namespace rosemarylink::bench {

namespace {

    constexpr int gatewayCount = 4;
    constexpr int callerCount = 24;
    constexpr Milliseconds callAndDrainTimeout { 20000 };
    constexpr Milliseconds announcementPeriod { 200 };
    constexpr Milliseconds restartInterval { 200 };

    // Stands in for the platform's load balancer: assigns the ready gateways to callers in turn.
    class LoadBalancer {
    public:
        explicit LoadBalancer(const std::vector<int>& ports)
            : ports_(ports)
        {
        }

        int choosePort()
        {
            const std::shared_lock lock(mutex_);
            return ports_[next_++ % ports_.size()];
        }

        void setPorts(std::vector<int> ports)
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
        std::atomic<std::int64_t> correct { 0 };
        std::atomic<std::int64_t> interrupted { 0 }; // neither a correct answer nor NotRun from a gateway
    };

    void runCaller(LoadBalancer& balancer, const std::atomic<bool>& stop, RestartTotals& totals, int caller)
    {
        std::map<int, std::unique_ptr<transport::HttpClient>> clients;
        for (int number = 0; !stop; ++number) {
            BenchRequest request { std::to_string(caller) + "/" + std::to_string(number), {} };
            if (number % 5 == 0)
                request.headers["Rosemarylink-Idempotent"] = "false";
            ++totals.sent;
            bool settled = false;
            // A request that a gateway has not run goes to the load balancer's next gateway.
            for (int attempt = 0; attempt < gatewayCount && !settled; ++attempt) {
                const int port = balancer.choosePort();
                auto& client = clients[port];
                if (!client)
                    client = std::make_unique<transport::HttpClient>("127.0.0.1:" + std::to_string(port));
                const auto reply = sendRequest(*client, request, callAndDrainTimeout);
                const bool notRun
                    = reply ? verdictOf(reply.value()) == "NotRun" : reply.error().verdict == Verdict::NotRun;
                if (notRun)
                    continue;
                settled = true;
                const bool correct = reply && isCorrectAnswer(reply.value(), request.body);
                ++(correct ? totals.correct : totals.interrupted);
            }
            totals.interrupted += settled ? 0 : 1;
        }
    }

    // Restarts all gateways one after the other under load. Returns the number of interrupted requests and sets
    // `correct` to the number of correct answers.
    std::int64_t rollingRestart(std::uint64_t seed, bool drainFirst, std::int64_t& correct)
    {
        FleetOptions options;
        options.upstreamOptions.serviceTime = Milliseconds(10);
        options.upstreamOptions.seed = seed;
        UpstreamFleet fleet(options);
        MemoryStore store(seed, 0);
        std::vector<std::unique_ptr<ProductGateway>> gateways(gatewayCount);
        const auto start = [&](std::size_t index, int port) {
            GatewayOptions gatewayOptions;
            gatewayOptions.id = "gateway-" + std::to_string(index);
            gatewayOptions.gatewayCount = gatewayCount;
            gatewayOptions.port = port;
            gatewayOptions.threads = 64;
            gateways[index] = std::make_unique<ProductGateway>(store, fleet.specs(), gatewayOptions);
        };
        std::vector<int> ports;
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            start(index, 0);
            ports.push_back(gateways[index]->port());
        }
        LoadBalancer balancer(ports);
        RestartTotals totals;
        std::atomic<bool> stop { false };
        std::thread load(
            [&] { runThreads(callerCount, [&](int caller) { runCaller(balancer, stop, totals, caller); }); });
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            std::this_thread::sleep_for(restartInterval);
            std::vector<int> others = ports;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
            if (drainFirst) {
                // /readyz returns 503 from here on; the load balancer notices it halfway through the announcement.
                gateways[index]->service().closeConnectionsAfterResponses();
                std::this_thread::sleep_for(announcementPeriod / 2);
                balancer.setPorts(others);
                std::this_thread::sleep_for(announcementPeriod / 2);
                gateways[index]->drain(callAndDrainTimeout);
            } else {
                gateways[index]->stopImmediately();
                balancer.setPorts(others);
            }
            gateways[index].reset();
            start(index, ports[index]);
            balancer.setPorts(ports);
        }
        std::this_thread::sleep_for(restartInterval);
        stop = true;
        load.join();
        correct = totals.correct;
        return totals.interrupted;
    }

} // namespace

RequestMeasures measureRestart(std::uint64_t seed)
{
    std::int64_t correct = 0;
    std::int64_t baselineCorrect = 0;
    const auto product = static_cast<double>(rollingRestart(seed, true, correct));
    const auto baseline = static_cast<double>(rollingRestart(seed, false, baselineCorrect));
    return {
        { "cut off by a rolling restart", product, "requests", baseline, 0, false, product },
        { "whole answers during the rolling restart", static_cast<double>(correct), "requests",
            static_cast<double>(baselineCorrect), {}, false, 0 },
    };
}

} // namespace rosemarylink::bench
