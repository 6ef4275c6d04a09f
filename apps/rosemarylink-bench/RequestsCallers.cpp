#include "RequestsCallers.h"

#include "RequestsFleet.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace rosemarylink::bench {

double millisecondsSince(BenchTime start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

double quantile(std::vector<double> samples, double rank)
{
    if (samples.empty())
        return 0;
    const auto position = static_cast<std::ptrdiff_t>(rank * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + position, samples.end());
    return samples[static_cast<std::size_t>(position)];
}

Result<transport::HttpReply> sendRequest(
    transport::HttpClient& client, const BenchRequest& request, Milliseconds timeout)
{
    transport::Headers headers = request.headers;
    headers["Authorization"] = std::string("Bearer ") + benchAccountKey;
    return client.send("POST", "/v1/requests/invoices", headers, request.body, timeout);
}

bool isCorrectAnswer(const transport::HttpReply& reply, const std::string& body)
{
    const auto id = reply.headers.find("Rosemarylink-Request-Id");
    return reply.status == 200 && id != reply.headers.end() && reply.body == id->second + ":" + body;
}

std::string verdictOf(const transport::HttpReply& reply)
{
    const auto position = reply.headers.find("Rosemarylink-Verdict");
    return position == reply.headers.end() ? "" : position->second;
}

void runThreads(int count, const std::function<void(int)>& run)
{
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        threads.emplace_back(run, number);
    for (auto& thread : threads)
        thread.join();
}

OpenLoopResult runOpenLoopLoad(const OpenLoopLoad& load, const std::vector<int>& ports)
{
    std::vector<std::unique_ptr<transport::HttpClient>> clients;
    clients.reserve(ports.size());
    for (const int port : ports)
        clients.push_back(std::make_unique<transport::HttpClient>(
            "127.0.0.1:" + std::to_string(port), static_cast<std::size_t>(load.threads)));
    std::atomic<int> next { 0 };
    std::atomic<int> onTime { 0 };
    const int total = static_cast<int>(load.requestsPerSecond * static_cast<double>(load.duration.count()) / 1000);
    const auto start = std::chrono::steady_clock::now();
    runThreads(load.threads, [&](int) {
        for (int number = next++; number < total; number = next++) {
            const auto due = start
                + std::chrono::duration_cast<std::chrono::nanoseconds>(
                    std::chrono::duration<double>(number / load.requestsPerSecond));
            std::this_thread::sleep_until(due);
            // A request that starts late has only the remaining time, and one that has none is dropped. Otherwise a
            // shortage of threads would delay all later requests.
            const auto remaining
                = static_cast<std::int64_t>(static_cast<double>(load.timeout.count()) - millisecondsSince(due));
            if (remaining <= 0)
                continue;
            const BenchRequest request { "request " + std::to_string(number),
                { { "Rosemarylink-Timeout-Ms", std::to_string(remaining) } } };
            const auto reply
                = sendRequest(*clients[static_cast<std::size_t>(number) % clients.size()], request, load.timeout * 4);
            // The timeout runs from the time when the request was due, not from when it was sent.
            if (reply && isCorrectAnswer(reply.value(), request.body)
                && millisecondsSince(due) <= static_cast<double>(load.timeout.count()))
                ++onTime;
        }
    });
    return { total, onTime, millisecondsSince(start) / 1000 };
}

} // namespace rosemarylink::bench
