#include "RequestsBench.h"
#include "RequestsCallers.h"
#include "RequestsFleet.h"

#include "rosemarylink/base/RandomId.h"

#include <atomic>

namespace rosemarylink::bench {

namespace {

    constexpr int sequentialRequests = 2000;
    constexpr int callers = 16;
    constexpr double throughputSeconds = 3;
    constexpr Milliseconds limit { 20000 };

    double directCall(transport::HttpClient& client, const std::string& path)
    {
        const auto start = std::chrono::steady_clock::now();
        const auto reply = client.send("POST", path, { { "Rosemarylink-Request-Id", randomHex128() } }, "body", limit);
        return reply ? millisecondsSince(start) : static_cast<double>(limit.count());
    }

    double gatewayCall(transport::HttpClient& client, const BenchRequest& request)
    {
        const auto start = std::chrono::steady_clock::now();
        const auto reply = sendRequest(client, request, limit);
        const bool whole = reply && isOwnAnswer(reply.value(), request.body);
        return whole ? millisecondsSince(start) : static_cast<double>(limit.count());
    }

    // Whole answers a second with a fixed number of callers that always wait for an answer.
    double throughput(const BenchGateway& gateway, const BenchRequest& request)
    {
        transport::HttpClient client("127.0.0.1:" + std::to_string(gateway.port()), callers);
        std::atomic<int> whole { 0 };
        const auto start = std::chrono::steady_clock::now();
        runThreads(callers, [&](int) {
            while (millisecondsSince(start) < throughputSeconds * 1000) {
                const auto reply = sendRequest(client, request, limit);
                whole += reply && isOwnAnswer(reply.value(), request.body) ? 1 : 0;
            }
        });
        return whole / (millisecondsSince(start) / 1000);
    }

} // namespace

RequestMeasures measureLatency(std::uint64_t seed)
{
    FleetOptions fleetOptions;
    fleetOptions.upstreams.serviceTime = Milliseconds(0);
    fleetOptions.upstreams.seed = seed;
    UpstreamFleet fleet(fleetOptions);
    MemoryStore store(seed, 0);
    ProductGateway product(store, fleet.specs(), {});
    BaselineGateway baseline(fleet.specs(), BaselineGateway::Choice::RoundRobin, seed);
    const std::string& address = fleet.specs().front().address;
    const auto slash = address.find('/');
    transport::HttpClient directClient(address.substr(0, slash));
    transport::HttpClient productClient("127.0.0.1:" + std::to_string(product.port()));
    transport::HttpClient baselineClient("127.0.0.1:" + std::to_string(baseline.port()));
    const BenchRequest idempotent { "body", {} };
    const BenchRequest single { "body", { { "Rosemarylink-Idempotent", "false" } } };
    std::vector<double> direct;
    std::vector<double> viaProduct;
    std::vector<double> viaProductOnce;
    std::vector<double> viaBaseline;
    // Taken in turns, so that a disturbance of the machine meets all alike.
    for (int number = 0; number < sequentialRequests; ++number) {
        direct.push_back(directCall(directClient, address.substr(slash) + "/run"));
        viaProduct.push_back(gatewayCall(productClient, idempotent));
        viaProductOnce.push_back(gatewayCall(productClient, single));
        viaBaseline.push_back(gatewayCall(baselineClient, idempotent));
    }
    const auto added = [&](const std::vector<double>& samples, double rank) {
        return quantile(samples, rank) - quantile(direct, rank);
    };
    RequestMeasures measures;
    for (const auto& [name, rank] : { std::pair("p50", 0.5), std::pair("p99", 0.99) }) {
        measures.push_back({ std::string("direct call ") + name, quantile(direct, rank), "ms", {}, {}, false, 0 });
        measures.push_back({ std::string("added latency ") + name, added(viaProduct, rank), "ms",
            added(viaBaseline, rank), {}, false, 0 });
        measures.push_back({ std::string("added latency non-idempotent ") + name, added(viaProductOnce, rank), "ms",
            added(viaBaseline, rank), {}, false, 0 });
    }
    const double productRate = throughput(product, idempotent);
    const double baselineRate = throughput(baseline, idempotent);
    measures.push_back({ "throughput", productRate, "1/s", baselineRate, {}, false, 0 });
    return measures;
}

} // namespace rosemarylink::bench
