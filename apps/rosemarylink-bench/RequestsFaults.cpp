#include "RequestsCallers.h"
#include "RequestsFleet.h"
#include "RequestsMeasures.h"

#include <atomic>

namespace rosemarylink::bench {

namespace {

    using standin::UpstreamFault;

    constexpr int requestCount = 100000;
    constexpr int callerCount = 48;
    constexpr int gatewayCount = 3;
    constexpr Milliseconds timeout { 2000 };
    // Every fifth request is non-idempotent. Every second one of these is submitted twice, to two gateways.
    constexpr int nonIdempotentInterval = 5;

    struct FaultTotals {
        std::int64_t duplicates = 0; // non-idempotent requests that ran more than once
        // Requests reported as Ran that did not run, reported as NotRun that ran, or without any reply.
        std::int64_t lost = 0;
        std::int64_t wrong = 0; // answers with status 200 that are not correct
        std::int64_t correct = 0; // complete answers to their own request
    };

    struct Submission {
        std::string body;
        bool nonIdempotent = false;
        bool replied = false;
        bool reportedRan = false;
        bool reportedNotRun = false;
    };

    standin::UpstreamFaults faults()
    {
        standin::UpstreamFaults result;
        result.lateBy = Milliseconds(20);
        for (const UpstreamFault fault :
            { UpstreamFault::Refuse, UpstreamFault::FailBefore, UpstreamFault::FailAfter, UpstreamFault::Error,
                UpstreamFault::Late, UpstreamFault::Swapped, UpstreamFault::Duplicated, UpstreamFault::Truncated })
            result.shares[fault] = 0.005;
        result.shares[UpstreamFault::Silent] = 0.0005;
        return result;
    }

    void submit(std::vector<std::unique_ptr<transport::HttpClient>>& clients, std::size_t number,
        Submission& submission, std::atomic<std::int64_t>& wrong, std::atomic<std::int64_t>& correct)
    {
        BenchRequest request { submission.body, { { "Rosemarylink-Timeout-Ms", std::to_string(timeout.count()) } } };
        if (submission.nonIdempotent) {
            request.headers["Rosemarylink-Idempotent"] = "false";
            request.headers["Idempotency-Key"] = "key-" + std::to_string(number);
        }
        const std::size_t copies = submission.nonIdempotent && number % 2 == 0 ? 2 : 1;
        for (std::size_t copy = 0; copy < copies; ++copy) {
            const auto reply = sendRequest(*clients[(number + copy) % clients.size()], request, Milliseconds(20000));
            if (!reply)
                continue;
            submission.replied = true;
            if (reply.value().status == 200) {
                (isCorrectAnswer(reply.value(), submission.body) ? correct : wrong) += 1;
                submission.reportedRan = true;
            }
            submission.reportedNotRun = submission.reportedNotRun || verdictOf(reply.value()) == "NotRun";
        }
    }

    template <typename MakeGateway> FaultTotals runWithFaults(std::uint64_t seed, MakeGateway makeGateway)
    {
        FleetOptions options;
        options.upstreamsPerRegion = 8;
        options.upstreamOptions.serviceTime = Milliseconds(0);
        options.upstreamOptions.countBodies = true;
        options.upstreamOptions.seed = seed;
        UpstreamFleet fleet(options);
        fleet.upstreams().setFaultsOfAll(faults());
        std::vector<std::unique_ptr<BenchGateway>> gateways;
        std::vector<std::unique_ptr<transport::HttpClient>> clients;
        for (int index = 0; index < gatewayCount; ++index) {
            gateways.push_back(makeGateway(fleet, index));
            clients.push_back(std::make_unique<transport::HttpClient>(
                "127.0.0.1:" + std::to_string(gateways.back()->port()), callerCount));
        }
        std::vector<Submission> submissions(requestCount);
        std::atomic<std::size_t> next { 0 };
        std::atomic<std::int64_t> wrong { 0 };
        std::atomic<std::int64_t> correct { 0 };
        runThreads(callerCount, [&](int) {
            for (std::size_t number = next++; number < submissions.size(); number = next++) {
                submissions[number].body = "request " + std::to_string(number);
                submissions[number].nonIdempotent = number % nonIdempotentInterval == 0;
                submit(clients, number, submissions[number], wrong, correct);
            }
        });
        FaultTotals totals;
        totals.wrong = wrong;
        totals.correct = correct;
        const auto executions = fleet.upstreams().executionsByBody();
        for (const Submission& submission : submissions) {
            const auto position = executions.find(submission.body);
            const int executionCount = position == executions.end() ? 0 : position->second;
            totals.duplicates += submission.nonIdempotent && executionCount > 1 ? 1 : 0;
            const bool misreported
                = (submission.reportedRan && executionCount == 0) || (submission.reportedNotRun && executionCount > 0);
            totals.lost += misreported || !submission.replied ? 1 : 0;
        }
        return totals;
    }

} // namespace

RequestMeasures measureFaults(std::uint64_t seed)
{
    // One reply of the store in two hundred is lost after its write took effect.
    MemoryStore store(seed, 0.005);
    const FaultTotals product = runWithFaults(seed, [&](const UpstreamFleet& fleet, int index) {
        GatewayOptions options;
        options.id = "gateway-" + std::to_string(index);
        options.gatewayCount = gatewayCount;
        options.progressTimeout = Milliseconds(500);
        return std::make_unique<ProductGateway>(store, fleet.specs(), options);
    });
    const FaultTotals baseline = runWithFaults(seed, [&](const UpstreamFleet& fleet, int index) {
        return std::make_unique<BaselineGateway>(
            fleet.specs(), BaselineGateway::Routing::RoundRobin, seed + static_cast<std::uint64_t>(index));
    });
    const auto expectedZero = [](const char* name, std::int64_t value, std::int64_t baselineValue) {
        const auto measured = static_cast<double>(value);
        return RequestMeasure { name, measured, "requests", static_cast<double>(baselineValue), 0, false, measured };
    };
    return {
        expectedZero("duplicates of 100,000 with faults", product.duplicates, baseline.duplicates),
        expectedZero("lost of 100,000 with faults", product.lost, baseline.lost),
        expectedZero("wrong answers of 100,000 with faults", product.wrong, baseline.wrong),
        { "whole answers with faults", static_cast<double>(product.correct), "requests",
            static_cast<double>(baseline.correct), {}, false, 0 },
    };
}

} // namespace rosemarylink::bench
