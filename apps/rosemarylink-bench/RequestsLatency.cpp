#include "RequestsCallers.h"
#include "RequestsFleet.h"
#include "RequestsMeasures.h"

#include "rosemarylink/base/RandomId.h"

#include <atomic>

namespace rosemarylink::bench {

namespace {

    constexpr int sequentialRequestCount = 2000;
    constexpr int callerCount = 16;
    constexpr double throughputSeconds = 3;
    constexpr Milliseconds callTimeout { 20000 };

    double directCall(transport::HttpClient& client, const std::string& path)
    {
        const auto start = std::chrono::steady_clock::now();
        const auto reply
            = client.send("POST", path, { { "Rosemarylink-Request-Id", randomHex128() } }, "body", callTimeout);
        return reply ? millisecondsSince(start) : static_cast<double>(callTimeout.count());
    }

    double gatewayCall(transport::HttpClient& client, const BenchRequest& request)
    {
        const auto start = std::chrono::steady_clock::now();
        const auto reply = sendRequest(client, request, callTimeout);
        const bool correct = reply && isCorrectAnswer(reply.value(), request.body);
        return correct ? millisecondsSince(start) : static_cast<double>(callTimeout.count());
    }

    // Correct answers per second with a fixed number of callers, each of which sends its next request after an answer.
    double throughput(const BenchGateway& gateway, const BenchRequest& request)
    {
        transport::HttpClient client("127.0.0.1:" + std::to_string(gateway.port()), callerCount);
        std::atomic<int> correct { 0 };
        const auto start = std::chrono::steady_clock::now();
        runThreads(callerCount, [&](int) {
            while (millisecondsSince(start) < throughputSeconds * 1000) {
                const auto reply = sendRequest(client, request, callTimeout);
                correct += reply && isCorrectAnswer(reply.value(), request.body) ? 1 : 0;
            }
        });
        return correct / (millisecondsSince(start) / 1000);
    }

} // namespace

RequestMeasures measureLatency(std::uint64_t seed)
{
    FleetOptions fleetOptions;
    fleetOptions.upstreamOptions.serviceTime = Milliseconds(0);
    fleetOptions.upstreamOptions.seed = seed;
    UpstreamFleet fleet(fleetOptions);
    MemoryStore store(seed, 0);
    ProductGateway product(store, fleet.specs(), {});
    BaselineGateway baseline(fleet.specs(), BaselineGateway::Routing::RoundRobin, seed);
    const std::string& address = fleet.specs().front().address;
    const auto slash = address.find('/');
    transport::HttpClient directClient(address.substr(0, slash));
    transport::HttpClient productClient("127.0.0.1:" + std::to_string(product.port()));
    transport::HttpClient baselineClient("127.0.0.1:" + std::to_string(baseline.port()));
    const BenchRequest idempotent { "body", {} };
    const BenchRequest nonIdempotent { "body", { { "Rosemarylink-Idempotent", "false" } } };
    std::vector<double> direct;
    std::vector<double> viaProduct;
    std::vector<double> viaProductNonIdempotent;
    std::vector<double> viaBaseline;
    // The calls are interleaved, so that a disturbance of the machine affects all series alike.
    for (int number = 0; number < sequentialRequestCount; ++number) {
        direct.push_back(directCall(directClient, address.substr(slash) + "/run"));
        viaProduct.push_back(gatewayCall(productClient, idempotent));
        viaProductNonIdempotent.push_back(gatewayCall(productClient, nonIdempotent));
        viaBaseline.push_back(gatewayCall(baselineClient, idempotent));
    }
    const auto addedLatency = [&](const std::vector<double>& samples, double rank) {
        return quantile(samples, rank) - quantile(direct, rank);
    };
    RequestMeasures measures;
    for (const auto& [name, rank] : { std::pair("p50", 0.5), std::pair("p99", 0.99) }) {
        measures.push_back({ std::string("direct call ") + name, quantile(direct, rank), "ms", {}, {}, false, 0 });
        measures.push_back({ std::string("added latency ") + name, addedLatency(viaProduct, rank), "ms",
            addedLatency(viaBaseline, rank), {}, false, 0 });
        measures.push_back({ std::string("added latency non-idempotent ") + name,
            addedLatency(viaProductNonIdempotent, rank), "ms", addedLatency(viaBaseline, rank), {}, false, 0 });
    }
    const double productRate = throughput(product, idempotent);
    const double baselineRate = throughput(baseline, idempotent);
    measures.push_back({ "throughput", productRate, "1/s", baselineRate, {}, false, 0 });
    return measures;
}

} // namespace rosemarylink::bench
