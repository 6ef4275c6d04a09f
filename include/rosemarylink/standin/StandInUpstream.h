#pragma once

#include "rosemarylink/generated/Model.h"
#include "rosemarylink/transport/HttpServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::standin {

// A fault of a request that an upstream receives.
enum class UpstreamFault {
    Refuse, // answers 503 with Rosemarylink-Refused without running the request
    FailBefore, // closes the connection without running the request
    FailAfter, // runs the request, then closes the connection
    Error, // runs the request, then answers 500
    Late, // answers after an additional delay of lateBy
    Swapped, // the answer carries another request's id and body
    Duplicated, // the answer is sent twice on the same connection
    Truncated, // the answer's body is cut off
    Silent, // runs the request, then sends nothing while the caller keeps the connection open
};

// Faults of an upstream, chosen at random for each request. The shares are fractions of all requests; their sum is at
// most 1.
struct UpstreamFaults {
    std::map<UpstreamFault, double> shares;
    Milliseconds lateBy { 200 };
};

struct StandInUpstreamOptions {
    Milliseconds serviceTime { 5 };
    int queueLength = 0; // requests that may wait for a slot; further ones are refused
    std::uint64_t seed = 1; // seed of the choice of faults
    Milliseconds reportLag { 0 }; // age of the reported number of busy slots
    bool countBodies = false; // enables executionsByBody()
};

// Simulates the platform's upstreams for tests, benchmarks and the demo. The body of each answer is "ID:BODY" with the
// id and body of its request, so that callers can detect a wrong answer. Thread-safe.
class StandInUpstream {
public:
    explicit StandInUpstream(const StandInUpstreamOptions& = {});
    ~StandInUpstream();

    // Serves "POST /u/<id>/run" for an upstream. Call before the router's server starts.
    void addUpstream(transport::HttpRouter&, const UpstreamId&, int slots);

    void setFaults(const UpstreamId&, const UpstreamFaults&);
    void setFaultsOfAll(const UpstreamFaults&);
    void setServiceTime(const UpstreamId&, Milliseconds);

    // Ends all waits, so that silent and late requests return. Call before the server stops.
    void release();

    // Executions by request id, over all upstreams.
    std::map<std::string, int> executionsByRequest() const;
    // Executions by request body. A caller that submits a request twice sends the same body with a new id. Needs
    // countBodies.
    std::map<std::string, int> executionsByBody() const;
    std::int64_t executions(const UpstreamId&) const;
    int busySlots(const UpstreamId&) const;
    // Requests received, whether or not they ran.
    std::int64_t arrivals(const UpstreamId&) const;
    std::int64_t totalArrivals() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace rosemarylink::standin
