#include "RequestsCallers.h"
#include "RequestsFleet.h"
#include "RequestsMeasures.h"

#include <atomic>

namespace rosemarylink::bench {

namespace {

    constexpr int upstreamCount = 4;
    constexpr int slotsPerUpstream = 2;
    constexpr Milliseconds serviceTime { 20 };
    constexpr Milliseconds timeout { 200 };
    // A full queue takes longer than the timeout, so that an overloaded upstream works on requests whose callers have
    // given up.
    constexpr int upstreamQueueLength = 64;
    constexpr int callerThreads = 150;

    FleetOptions overloadFleet(std::uint64_t seed)
    {
        FleetOptions options;
        options.upstreamsPerRegion = upstreamCount;
        options.slotsPerUpstream = slotsPerUpstream;
        options.upstreamOptions.serviceTime = serviceTime;
        options.upstreamOptions.queueLength = upstreamQueueLength;
        options.upstreamOptions.seed = seed;
        return options;
    }

    double capacityPerSecond()
    {
        return upstreamCount * slotsPerUpstream * 1000.0 / static_cast<double>(serviceTime.count());
    }

    double goodput(double loadFactor, const std::vector<int>& ports)
    {
        OpenLoopLoad load;
        load.requestsPerSecond = loadFactor * capacityPerSecond();
        load.duration = Milliseconds(4000);
        load.threads = callerThreads;
        load.timeout = timeout;
        const OpenLoopResult result = runOpenLoopLoad(load, ports);
        return result.onTime / result.seconds;
    }

    std::vector<double> goodputOfProduct(std::uint64_t seed)
    {
        std::vector<double> results;
        for (const double loadFactor : { 1.0, 2.0, 5.0 }) {
            UpstreamFleet fleet(overloadFleet(seed));
            MemoryStore store(seed, 0);
            GatewayOptions options;
            options.gatewayCount = 2;
            ProductGateway first(store, fleet.specs(), options);
            options.id = "gateway-2";
            ProductGateway second(store, fleet.specs(), options);
            results.push_back(goodput(loadFactor, { first.port(), second.port() }));
        }
        return results;
    }

    std::vector<double> goodputOfBaseline(std::uint64_t seed)
    {
        std::vector<double> results;
        for (const double loadFactor : { 1.0, 2.0, 5.0 }) {
            UpstreamFleet fleet(overloadFleet(seed));
            BaselineGateway first(fleet.specs(), BaselineGateway::Routing::RoundRobin, seed);
            BaselineGateway second(fleet.specs(), BaselineGateway::Routing::RoundRobin, seed + 1);
            results.push_back(goodput(loadFactor, { first.port(), second.port() }));
        }
        return results;
    }

} // namespace

RequestMeasures measureOverload(std::uint64_t seed)
{
    const auto product = goodputOfProduct(seed);
    const auto baseline = goodputOfBaseline(seed);
    return {
        { "goodput at 1x capacity", product[0], "1/s", baseline[0], {}, false, 0 },
        { "goodput at 2x capacity", product[1], "1/s", baseline[1], {}, false, 0 },
        { "goodput at 5x capacity", product[2], "1/s", baseline[2], {}, false, 0 },
        { "goodput at 5x over 1x", product[2] / product[0], "ratio", baseline[2] / baseline[0], 0.9, true,
            product[2] / product[0] },
    };
}

RequestMeasures measureRetries(std::uint64_t seed)
{
    constexpr int requestCount = 4000;
    constexpr int callerCount = 8;
    const auto ratio = [&](const std::function<std::unique_ptr<BenchGateway>(const UpstreamFleet&)>& make) {
        FleetOptions options;
        options.upstreamOptions.serviceTime = Milliseconds(0);
        options.upstreamOptions.seed = seed;
        UpstreamFleet fleet(options);
        standin::UpstreamFaults faults;
        faults.shares[standin::UpstreamFault::FailBefore] = 0.25;
        faults.shares[standin::UpstreamFault::Error] = 0.25;
        fleet.upstreams().setFaultsOfAll(faults);
        const auto gateway = make(fleet);
        transport::HttpClient client("127.0.0.1:" + std::to_string(gateway->port()), callerCount);
        std::atomic<int> next { 0 };
        runThreads(callerCount, [&](int) {
            for (int number = next++; number < requestCount; number = next++)
                sendRequest(client, { "request " + std::to_string(number), {} }, Milliseconds(20000)).has_value();
        });
        return static_cast<double>(fleet.upstreams().totalArrivals()) / requestCount;
    };
    MemoryStore store(seed, 0);
    const double product = ratio([&](const UpstreamFleet& fleet) {
        return std::make_unique<ProductGateway>(store, fleet.specs(), GatewayOptions {});
    });
    const double baseline = ratio([&](const UpstreamFleet& fleet) {
        return std::make_unique<BaselineGateway>(fleet.specs(), BaselineGateway::Routing::RoundRobin, seed);
    });
    return { { "sent upstream for each request, half failing", product, "ratio", baseline, 1.1, false, product } };
}

} // namespace rosemarylink::bench
