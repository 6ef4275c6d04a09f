#pragma once

#include "rosemarylink/reactor/ConnectionLimits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace rosemarylink::reactor {

// Load pattern: a few ordinary callers with requests of 0.5 to 5 KB share the server, and possibly one peer address,
// with hundreds of clients that open connections and send nothing, send bodies of up to 256 KB and stop just short of
// the end, send many such bodies at once, or do not read their responses. Ordinary requests arrive whole and are
// handled at once, so they hold bytes for milliseconds; what accumulates belongs to the others. Therefore everything is
// accepted until a budget is exceeded, and then the connection with the oldest unfinished request is closed.

enum class ConnectionStage {
    Unused, // no byte has been received
    Idle, // between requests
    Receiving, // a request has arrived in part
    InProgress, // a request is being handled; such a connection is never chosen
    Sending, // a response has not been read by the client
};

// Counts what the connections of a server hold and decides which one to close when a budget is exceeded. Does no I/O.
class ConnectionBudget {
public:
    using Id = std::uint64_t;

    enum class Cause { Connections, BufferedBytes };
    struct Choice {
        Id connection = 0;
        Cause cause = Cause::Connections;
    };

    explicit ConnectionBudget(const ConnectionLimits&);

    // The id must not be in use. The connection is Unused.
    void open(Id, const std::string& peer, Milliseconds now);
    // Requests in progress of the connection stay counted until endRequest().
    void close(Id);

    // `since` is when the stage began; for Receiving, when the first byte of the request arrived.
    void setStage(Id, ConnectionStage, Milliseconds since);
    void setBuffered(Id, std::size_t bytes);

    // Estimated memory of a request with this body while it is in progress.
    static std::size_t requestCost(std::size_t bodyBytes);

    // Tells whether the budget has room for a request with this body. A quarter of it is kept for small bodies. A
    // request is always allowed when none is in progress.
    bool mayStartRequest(std::size_t bodyBytes) const;
    void startRequest(std::size_t bodyBytes);
    // Must be called once for each startRequest(), with the same size.
    void endRequest(std::size_t bodyBytes);

    // Returns the connection to close first, or nullopt if no budget is exceeded or nothing can be closed.
    std::optional<Choice> connectionToClose() const;

    std::size_t connections() const { return connections_.size(); }
    std::size_t bufferedBytes() const { return bufferedBytes_; }
    std::size_t requestBytes() const { return requestBytes_; }
    std::size_t peers() const { return peers_.size(); }

private:
    // The order in which connections of a peer are closed: by rank, then the oldest first.
    using Order = std::tuple<int, Milliseconds, Id>;

    struct Peer {
        std::set<Order> candidates;
        std::size_t connections = 0;
        std::size_t bufferedBytes = 0;
    };
    struct Connection {
        std::map<std::string, Peer>::iterator peer;
        ConnectionStage stage = ConnectionStage::Unused;
        Milliseconds since { 0 };
        std::size_t bufferedBytes = 0;
    };

    static std::optional<int> rankOf(const Connection&);
    static void addCandidate(Id, const Connection&);
    static void removeCandidate(Id, const Connection&);

    std::size_t connectionLimit_;
    std::size_t bufferedLimit_;
    std::size_t requestLimit_;
    std::map<Id, Connection> connections_;
    std::map<std::string, Peer> peers_; // by address; only peers with connections
    std::size_t bufferedBytes_ = 0;
    std::size_t requestBytes_ = 0;
};

} // namespace rosemarylink::reactor
