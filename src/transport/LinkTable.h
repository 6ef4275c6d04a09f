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

// The peers and their connections: opens what is missing, pings what is quiet and replaces what is silent. All methods
// but connectedPeers are called on the I/O thread.
class LinkTable {
public:
    using Open = std::function<LinkPointer(const PeerAddress&)>;
    using Lost = std::function<void(const LinkConnection*)>;

    // Open starts a connection; Lost is told of each connection that is no longer used.
    LinkTable(const LinkOptions&, Open, Lost);

    void setPeers(const std::vector<PeerAddress>&, Milliseconds now);
    void opened(const LinkPointer&, Milliseconds now);
    void heard(const LinkPointer&, Milliseconds now);
    void closed(const LinkPointer&, Milliseconds now);

    // Does what is due. To be called several times in a ping interval.
    void tick(Milliseconds now);

    // The connection to send over, the one heard from last; null when none is open.
    LinkPointer connectionTo(const InstanceId&) const;

    void dropAll();

    // Safe to call from any thread.
    std::vector<InstanceId> connectedPeers() const;

private:
    struct Link {
        LinkPointer connection;
        Milliseconds heardAt { 0 };
        Milliseconds pingedAt { 0 };
    };
    struct Peer {
        std::optional<PeerAddress> address; // absent: not in the list; the peer has opened the connection
        std::vector<Link> links;
        LinkPointer opening;
        Milliseconds openingSince { 0 };
        Milliseconds nextOpen { 0 };
        Milliseconds backoff { 0 };
    };

    Milliseconds firstDelay(const InstanceId& peer) const;
    void maintain(const InstanceId&, Peer&, Milliseconds now);
    void maintainLinks(Peer&, Milliseconds now);
    void maintainOpening(Peer&, Milliseconds now);
    void openingFailed(Peer&, Milliseconds now);
    void removeLink(const InstanceId&, Peer&, const LinkPointer&, Milliseconds now);
    void updateConnected(const InstanceId&, const Peer&);

    LinkOptions options_;
    Open open_;
    Lost lost_;
    std::map<InstanceId, Peer> peers_;
    std::minstd_rand random_ { std::random_device {}() };

    mutable std::mutex connectedMutex_;
    std::set<InstanceId> connected_;
};

} // namespace rosemarylink::transport::internal
