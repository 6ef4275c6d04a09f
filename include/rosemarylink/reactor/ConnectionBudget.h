#pragma once

#include "rosemarylink/reactor/ConnectionLimits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace rosemarylink::reactor {

// Load pattern: a few ordinary callers with requests of 0.5 to 5 KB share the server, and possibly one peer address,
// with hundreds of clients that open connections and send nothing, send bodies of up to 256 KB and stop just short of
// the end, send many such bodies at once, or do not read their responses. Ordinary requests arrive whole and are
// handled at once, so they hold bytes for milliseconds; what accumulates belongs to the others. Therefore everything is
// accepted until a budget is exceeded. Too many bytes close the connection with the oldest unfinished request. Too many
// connections close quiet ones first and slow ones next, so that ordinary requests and responses are not cut off.

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

    // Estimated memory of a request of this size, head and body, while it is in progress.
    static std::size_t requestCost(std::size_t bytes);

    // Tells whether the budget has room for a request of this size. A quarter of it is kept for small requests. A
    // request is always allowed when none is in progress.
    bool mayStartRequest(std::size_t bytes) const;
    void startRequest(std::size_t bytes);
    // Must be called once for each startRequest(), with the same size.
    void endRequest(std::size_t bytes);

    // Returns the connection to close first, or nullopt if no budget is exceeded or nothing can be closed.
    std::optional<Choice> connectionToClose(Milliseconds now) const;

    std::size_t connections() const { return connections_.size(); }
    std::size_t bufferedBytes() const { return bufferedBytes_; }
    std::size_t requestBytes() const { return requestBytes_; }
    std::size_t peers() const { return peers_.size(); }

private:
    using Age = std::pair<Milliseconds, Id>; // orders connections by the start of their stage
    // The order in which connections that hold bytes are closed: by rank, then the oldest first.
    using ByteOrder = std::tuple<int, Milliseconds, Id>;

    // The order in which connections over the limit are closed; the oldest of a rank first.
    enum class ExcessRank {
        Quiet, // Unused or Idle for a while
        Slow, // Receiving or Sending for longer than the head time
        Idle,
        Other, // Unused, Receiving and Sending
    };
    struct Excess {
        ExcessRank rank = ExcessRank::Other;
        Age age;
    };

    struct Peer {
        std::set<ByteOrder> holders;
        std::set<Age> unused;
        std::set<Age> idle;
        std::set<Age> transferring; // Receiving or Sending
        std::size_t connections = 0;
        std::size_t bufferedBytes = 0;
    };
    struct Connection {
        std::map<std::string, Peer>::iterator peer;
        ConnectionStage stage = ConnectionStage::Unused;
        Milliseconds since { 0 };
        std::size_t bufferedBytes = 0;
    };

    static std::optional<int> byteRank(const Connection&);
    static std::set<Age>* agesOf(const Connection&);
    static void addCandidate(Id, const Connection&);
    static void removeCandidate(Id, const Connection&);
    std::optional<Id> holderToClose() const;
    std::optional<Id> excessToClose(Milliseconds now) const;
    std::optional<Excess> firstExcess(const Peer&, Milliseconds now) const;

    std::size_t connectionLimit_;
    std::size_t bufferedLimit_;
    std::size_t requestLimit_;
    Milliseconds headTimeout_;
    std::map<Id, Connection> connections_;
    std::map<std::string, Peer> peers_; // by address; only peers with connections
    std::size_t bufferedBytes_ = 0;
    std::size_t requestBytes_ = 0;
};

} // namespace rosemarylink::reactor
