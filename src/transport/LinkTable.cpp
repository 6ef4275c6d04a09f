#include "LinkTable.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>

namespace rosemarylink::transport::internal {

namespace {

    const Logger logger("links");

    // How long the instance with the higher id waits for the other one to connect: several times the 12 ms of one-way
    // latency between regions.
    constexpr Milliseconds higherIdDelay { 250 };

} // namespace

LinkTable::LinkTable(const LinkOptions& options, Open open, LinkRemoved linkRemoved)
    : options_(options)
    , open_(std::move(open))
    , linkRemoved_(std::move(linkRemoved))
{
}

Milliseconds LinkTable::initialDelay(const InstanceId& peer) const
{
    return options_.self < peer ? Milliseconds(0) : higherIdDelay;
}

void LinkTable::setPeers(const std::vector<PeerAddress>& addresses, Milliseconds now)
{
    std::map<InstanceId, PeerAddress> newAddresses;
    for (const PeerAddress& address : addresses) {
        if (address.instance != options_.self)
            newAddresses[address.instance] = address;
    }
    for (auto& [id, peer] : peers_) {
        if (!peer.address || newAddresses.count(id) > 0)
            continue;
        peer.address.reset();
        if (peer.opening)
            peer.opening->drop();
        for (const Link& link : peer.links)
            link.connection->drop();
    }
    for (const auto& [id, address] : newAddresses) {
        Peer& peer = peers_[id];
        const bool moved = !peer.address || peer.address->host != address.host || peer.address->port != address.port;
        peer.address = address;
        if (moved) {
            peer.backoff = Milliseconds(0);
            peer.nextOpen = now + initialDelay(id);
        }
    }
    tick(now);
}

void LinkTable::opened(const LinkPointer& connection, Milliseconds now)
{
    Peer& peer = peers_[connection->peer()];
    if (peer.opening == connection)
        peer.opening = nullptr;
    peer.backoff = Milliseconds(0);
    peer.links.push_back({ connection, now, now });
    logger.info("connection opened", { { "peer", connection->peer() } });
    updateConnected(connection->peer(), peer);
}

void LinkTable::recordActivity(const LinkPointer& connection, Milliseconds now)
{
    const auto position = peers_.find(connection->peer());
    if (position == peers_.end())
        return;
    for (Link& link : position->second.links) {
        if (link.connection == connection)
            link.lastActivity = now;
    }
}

void LinkTable::closed(const LinkPointer& connection, Milliseconds now)
{
    const auto position = peers_.find(connection->peer());
    if (position == peers_.end())
        return;
    Peer& peer = position->second;
    if (peer.opening == connection)
        openingFailed(peer, now);
    removeLink(connection->peer(), peer, connection, now);
}

void LinkTable::openingFailed(Peer& peer, Milliseconds now)
{
    peer.opening = nullptr;
    peer.backoff = std::clamp(peer.backoff * 2, options_.minimumBackoff, options_.maximumBackoff);
    // Half of the delay is random, so that the instances of a region do not all connect at once after a partition.
    std::uniform_int_distribution<std::int64_t> jitter(peer.backoff.count() / 2, peer.backoff.count());
    peer.nextOpen = now + Milliseconds(jitter(random_));
}

void LinkTable::removeLink(const InstanceId& id, Peer& peer, const LinkPointer& connection, Milliseconds now)
{
    const auto position = std::find_if(
        peer.links.begin(), peer.links.end(), [&](const Link& link) { return link.connection == connection; });
    if (position == peer.links.end())
        return;
    peer.links.erase(position);
    peer.nextOpen = now + initialDelay(id);
    logger.info("connection lost", { { "peer", id } });
    updateConnected(id, peer);
    linkRemoved_(connection.get());
}

void LinkTable::tick(Milliseconds now)
{
    for (auto position = peers_.begin(); position != peers_.end();) {
        Peer& peer = position->second;
        maintain(position->first, peer, now);
        const bool unused = !peer.address && peer.links.empty() && !peer.opening;
        position = unused ? peers_.erase(position) : std::next(position);
    }
}

void LinkTable::maintain(const InstanceId& id, Peer& peer, Milliseconds now)
{
    const std::vector<Link> links = peer.links;
    for (const Link& link : links) {
        if (now - link.lastActivity < options_.receiveTimeout)
            continue;
        logger.warning("connection is silent and is replaced", { { "peer", id } });
        removeLink(id, peer, link.connection, now);
        // Reconnects without the delay for higher ids: a new connection may work although this one does not.
        peer.nextOpen = now;
        link.connection->drop();
    }
    maintainLinks(peer, now);
    maintainOpening(peer, now);
}

void LinkTable::maintainLinks(Peer& peer, Milliseconds now)
{
    for (Link& link : peer.links) {
        if (now - link.lastActivity >= options_.pingInterval && now - link.lastPing >= options_.pingInterval) {
            link.connection->ping();
            link.lastPing = now;
        }
    }
}

void LinkTable::maintainOpening(Peer& peer, Milliseconds now)
{
    if (peer.opening) {
        // A connection attempt may hang, too.
        if (now - peer.openingSince >= options_.receiveTimeout) {
            const LinkPointer late = peer.opening;
            openingFailed(peer, now);
            late->drop();
        }
        return;
    }
    if (!peer.address || !peer.links.empty() || now < peer.nextOpen)
        return;
    peer.openingSince = now;
    peer.opening = open_(*peer.address);
    if (!peer.opening)
        openingFailed(peer, now);
}

LinkPointer LinkTable::connectionTo(const InstanceId& id) const
{
    const auto position = peers_.find(id);
    if (position == peers_.end() || position->second.links.empty())
        return nullptr;
    const auto& links = position->second.links;
    return std::max_element(links.begin(), links.end(), [](const Link& a, const Link& b) {
        return a.lastActivity < b.lastActivity;
    })->connection;
}

bool LinkTable::isPeer(const InstanceId& id) const
{
    const auto position = peers_.find(id);
    return position != peers_.end() && position->second.address;
}

void LinkTable::dropAll()
{
    for (auto& [id, peer] : peers_) {
        peer.address.reset();
        if (peer.opening)
            peer.opening->drop();
        for (const Link& link : peer.links)
            link.connection->drop();
    }
}

std::vector<InstanceId> LinkTable::connectedPeers() const
{
    const std::lock_guard lock(connectedMutex_);
    return { connected_.begin(), connected_.end() };
}

void LinkTable::updateConnected(const InstanceId& id, const Peer& peer)
{
    const std::lock_guard lock(connectedMutex_);
    if (peer.links.empty())
        connected_.erase(id);
    else
        connected_.insert(id);
}

} // namespace rosemarylink::transport::internal
