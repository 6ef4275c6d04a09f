#include "RequestsBench.h"
#include "RequestsCallers.h"
#include "RequestsFleet.h"

#include <atomic>

namespace rosemarylink::bench {

namespace {

    constexpr int upstreams = 4;
    constexpr int slots = 2;
    constexpr Milliseconds serviceTime { 20 };
    constexpr Milliseconds timeout { 200 };
    // An upstream that queues: once its queue takes longer than the deadline, it works for callers that have left.
    constexpr int upstreamQueue = 64;
    constexpr int callerThreads = 150;

    FleetOptions overloadFleet(std::uint64_t seed)
    {
        FleetOptions options;
        options.upstreamsPerRegion = upstreams;
        options.slots = slots;
        options.upstreams.serviceTime = serviceTime;
        options.upstreams.queueLength = upstreamQueue;
        options.upstreams.seed = seed;
        return options;
    }

    double capacity() { return upstreams * slots * 1000.0 / static_cast<double>(serviceTime.count()); }

    double goodput(double timesCapacity, const std::vector<int>& ports)
    {
        OpenLoad load;
        load.requestsPerSecond = timesCapacity * capacity();
        load.length = Milliseconds(4000);
        load.threads = callerThreads;
        load.timeout = timeout;
        const OpenLoadResult result = runOpenLoad(load, ports);
        return result.inTime / result.seconds;
    }

    std::vector<double> goodputOfProduct(std::uint64_t seed)
    {
        std::vector<double> results;
        for (const double times : { 1.0, 2.0, 5.0 }) {
            UpstreamFleet fleet(overloadFleet(seed));
            MemoryStore store(seed, 0);
            GatewayOptions options;
            options.gateways = 2;
            ProductGateway first(store, fleet.specs(), options);
            options.id = "gateway-2";
            ProductGateway second(store, fleet.specs(), options);
            results.push_back(goodput(times, { first.port(), second.port() }));
        }
        return results;
    }

    std::vector<double> goodputOfBaseline(std::uint64_t seed)
    {
        std::vector<double> results;
        for (const double times : { 1.0, 2.0, 5.0 }) {
            UpstreamFleet fleet(overloadFleet(seed));
            BaselineGateway first(fleet.specs(), BaselineGateway::Choice::RoundRobin, seed);
            BaselineGateway second(fleet.specs(), BaselineGateway::Choice::RoundRobin, seed + 1);
            results.push_back(goodput(times, { first.port(), second.port() }));
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
    constexpr int requests = 4000;
    constexpr int callers = 8;
    const auto share = [&](const std::function<std::unique_ptr<BenchGateway>(const UpstreamFleet&)>& make) {
        FleetOptions options;
        options.upstreams.serviceTime = Milliseconds(0);
        options.upstreams.seed = seed;
        UpstreamFleet fleet(options);
        standin::UpstreamFaults faults;
        faults.shares[standin::UpstreamFault::FailBefore] = 0.25;
        faults.shares[standin::UpstreamFault::Error] = 0.25;
        fleet.upstreams().setFaultsOfAll(faults);
        const auto gateway = make(fleet);
        transport::HttpClient client("127.0.0.1:" + std::to_string(gateway->port()), callers);
        std::atomic<int> next { 0 };
        runThreads(callers, [&](int) {
            for (int number = next++; number < requests; number = next++)
                sendRequest(client, { "request " + std::to_string(number), {} }, Milliseconds(20000)).has_value();
        });
        return static_cast<double>(fleet.upstreams().totalArrivals()) / requests;
    };
    MemoryStore store(seed, 0);
    const double product = share([&](const UpstreamFleet& fleet) {
        return std::make_unique<ProductGateway>(store, fleet.specs(), GatewayOptions {});
    });
    const double baseline = share([&](const UpstreamFleet& fleet) {
        return std::make_unique<BaselineGateway>(fleet.specs(), BaselineGateway::Choice::RoundRobin, seed);
    });
    return { { "sent upstream for each request, half failing", product, "ratio", baseline, 1.1, false, product } };
}

} // namespace rosemarylink::bench
