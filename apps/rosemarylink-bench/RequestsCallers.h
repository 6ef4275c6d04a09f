#pragma once

#include "rosemarylink/transport/HttpClient.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace rosemarylink::bench {

using BenchTime = std::chrono::steady_clock::time_point;

double millisecondsSince(BenchTime);

// The sample at a rank from 0 (lowest) to 1 (highest); 0 if there are no samples.
double quantile(std::vector<double> samples, double rank);

struct BenchRequest {
    std::string body;
    transport::Headers headers;
};

// Sends a request to a gateway with the key of the benchmark's client account. `timeout` is that of the HTTP
// call, not the one that the request declares to the gateway.
Result<transport::HttpReply> sendRequest(transport::HttpClient&, const BenchRequest&, Milliseconds timeout);

// Whether the reply is the complete answer "<id>:<body>" to the request with this body. The id is that of the reply's
// Rosemarylink-Request-Id header.
bool isCorrectAnswer(const transport::HttpReply&, const std::string& body);

// Value of the Rosemarylink-Verdict header; empty if the header is absent.
std::string verdictOf(const transport::HttpReply&);

// Calls the function on `count` threads in parallel, each with the index of its thread, and waits for all of them.
void runThreads(int count, const std::function<void(int)>&);

// Open-loop load: requests start at a fixed rate, whether or not earlier ones have ended, as long as a thread is free.
struct OpenLoopLoad {
    double requestsPerSecond = 100;
    Milliseconds duration { 3000 };
    int threads = 64;
    Milliseconds timeout { 100 }; // of each request
};

struct OpenLoopResult {
    int scheduled = 0;
    int onTime = 0; // correct answers within the timeout
    double seconds = 0;
};

// Sends the load to the gateways at the given loopback ports in turn. Returns when all requests have ended.
OpenLoopResult runOpenLoopLoad(const OpenLoopLoad&, const std::vector<int>& ports);

} // namespace rosemarylink::bench
