#pragma once

#include "rosemarylink/transport/HttpClient.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace rosemarylink::bench {

using BenchTime = std::chrono::steady_clock::time_point;

double millisecondsSince(BenchTime);

// The value at a rank from 0 to 1 of the samples; 0 without samples.
double quantile(std::vector<double> samples, double rank);

// One request of a caller.
struct BenchRequest {
    std::string body;
    transport::Headers headers;
};

// Sends a request to a gateway with the benchmark's key.
Result<transport::HttpReply> sendRequest(transport::HttpClient&, const BenchRequest&, Milliseconds limit);

// True for the whole answer "<id>:<body>" of the request itself.
bool isOwnAnswer(const transport::HttpReply&, const std::string& body);

std::string verdictOf(const transport::HttpReply&);

// Runs so many threads and waits for all of them. The function gets the thread's number.
void runThreads(int count, const std::function<void(int)>&);

// An open load: requests start at a fixed rate whether earlier ones have ended or not, as long as a thread is free.
struct OpenLoad {
    double requestsPerSecond = 100;
    Milliseconds length { 3000 };
    int threads = 64;
    Milliseconds timeout { 100 }; // of each request
};

struct OpenLoadResult {
    int sent = 0;
    int inTime = 0; // whole answers before the deadline
    double seconds = 0;
};

OpenLoadResult runOpenLoad(const OpenLoad&, const std::vector<int>& ports);

} // namespace rosemarylink::bench
