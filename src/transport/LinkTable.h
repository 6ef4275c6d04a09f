#pragma once

#include "LinkConnection.h"

#include "rosemarylink/transport/WebSocketLinks.h"

#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <vector>

namespace rosemarylink::transport::internal {

// Maintains the connections to the peers: opens missing ones, pings idle ones and replaces silent ones. All methods
// except connectedPeers must be called on the I/O thread.
class LinkTable {
public:
    using Open = std::function<LinkPointer(const PeerAddress&)>;
    using LinkRemoved = std::function<void(const LinkConnection*)>;

    // `Open` starts a connection. `LinkRemoved` is called with each connection that is no longer used.
    LinkTable(const LinkOptions&, Open, LinkRemoved);

    void setPeers(const std::vector<PeerAddress>&, Milliseconds now);
    void opened(const LinkPointer&, Milliseconds now);
    void recordActivity(const LinkPointer&, Milliseconds now);
    void closed(const LinkPointer&, Milliseconds now);

    // Performs the pings, replacements and connection attempts that are due. Call several times per ping interval.
    void tick(Milliseconds now);

    // Returns the open connection with the latest activity, or null when there is none.
    LinkPointer connectionTo(const InstanceId&) const;

    // Whether the instance is in the list of peers.
    bool isPeer(const InstanceId&) const;

    void dropAll();

    // May be called on any thread.
    std::vector<InstanceId> connectedPeers() const;

private:
    struct Link {
        LinkPointer connection;
        Milliseconds lastActivity { 0 };
        Milliseconds lastPing { 0 };
    };
    struct Peer {
        std::optional<PeerAddress> address; // absent when the peer is not in the list but has opened a connection
        std::vector<Link> links;
        LinkPointer opening;
        Milliseconds openingSince { 0 };
        Milliseconds nextOpen { 0 };
        Milliseconds backoff { 0 };
    };

    Milliseconds initialDelay(const InstanceId& peer) const;
    void maintain(const InstanceId&, Peer&, Milliseconds now);
    void maintainLinks(Peer&, Milliseconds now);
    void maintainOpening(Peer&, Milliseconds now);
    void openingFailed(Peer&, Milliseconds now);
    void removeLink(const InstanceId&, Peer&, const LinkPointer&, Milliseconds now);
    void updateConnected(const InstanceId&, const Peer&);

    LinkOptions options_;
    Open open_;
    LinkRemoved linkRemoved_;
    std::map<InstanceId, Peer> peers_;
    std::minstd_rand random_ { std::random_device {}() };

    mutable std::mutex connectedMutex_;
    std::set<InstanceId> connected_;
};

} // namespace rosemarylink::transport::internal
