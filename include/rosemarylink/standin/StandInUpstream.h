#pragma once

#include "rosemarylink/generated/Model.h"
#include "rosemarylink/transport/HttpServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::standin {

// What goes wrong with a request that an upstream receives.
enum class UpstreamFault {
    Refuse, // 503 with Rosemarylink-Refused, without running it
    FailBefore, // closes the connection without running it
    FailAfter, // runs it, then closes the connection
    Error, // runs it, then answers 500
    Late, // answers after lateBy
    Swapped, // the answer carries another request's id and body
    Duplicated, // the answer is sent twice on the same connection
    Truncated, // the answer stops in the middle
    Silent, // runs it, then sends no answer for as long as the caller keeps the connection open
};

// Faults hit requests at random, by shares of all requests of the upstream. They add up to 1 at most.
struct UpstreamFaults {
    std::map<UpstreamFault, double> shares;
    Milliseconds lateBy { 200 };
};

struct StandInUpstreamOptions {
    Milliseconds serviceTime { 5 };
    int queueLength = 0; // requests beyond the slots that wait; further ones are refused
    std::uint64_t seed = 1; // of the faults' choice
    Milliseconds reportLag { 0 }; // age of the reported number of busy slots
    bool countBodies = false; // keeps executionsByBody
};

// A stand-in for the platform's upstreams, for tests, benchmark and demo. Each answer's body is "ID:BODY" of its
// request, so that a caller can tell a wrong answer. Safe to use from several threads.
class StandInUpstream {
public:
    explicit StandInUpstream(const StandInUpstreamOptions& = {});
    ~StandInUpstream();

    // Serves "POST <prefix>/run" for an upstream, where prefix is "/u/<id>". Call before the router's server starts.
    void addUpstream(transport::HttpRouter&, const UpstreamId&, int slots);

    void setFaults(const UpstreamId&, const UpstreamFaults&);
    void setFaultsOfAll(const UpstreamFaults&);
    void setServiceTime(const UpstreamId&, Milliseconds);

    // Ends all waits, so that silent and late requests return. Call before the server is stopped.
    void release();

    // Executions by request id, over all upstreams.
    std::map<std::string, int> executionsByRequest() const;
    // Executions by the request's body, which stays the same when a caller submits a request twice.
    std::map<std::string, int> executionsByBody() const;
    std::int64_t executions(const UpstreamId&) const;
    int busySlots(const UpstreamId&) const;
    // Requests that arrived, whether they ran or not.
    std::int64_t arrivals(const UpstreamId&) const;
    std::int64_t totalArrivals() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace rosemarylink::standin
