#include "rosemarylink/reactor/ConnectionBudget.h"

#include <algorithm>

namespace rosemarylink::reactor {

namespace {

    // Ordinary bodies have at most 5 KB; with its head, such a request holds less than this.
    constexpr std::size_t smallRequestBytes = 16 * 1024;

    // Between the end of its parsing and its response a submission is held as the job's fields, as its record, as the
    // store call's JSON text (base64, 4/3) and as the bytes of that call that are not sent, up to 4.7 times its size.
    constexpr std::size_t requestFactor = 6;
    constexpr std::size_t fixedRequestCost = 4096;

    // A connection that is silent for this long is not about to send its request: a caller sends it directly after the
    // connection is established, one round trip of at most a few hundred milliseconds later.
    constexpr Milliseconds quietTime { 1000 };

    constexpr std::size_t shareForSmallRequests = 4;

} // namespace

ConnectionBudget::ConnectionBudget(const ConnectionLimits& limits)
    : connectionLimit_(limits.connections)
    , bufferedLimit_(limits.bufferedBytes)
    , requestLimit_(limits.requestBytes)
    , headTimeout_(limits.headTimeout)
{
}

std::optional<int> ConnectionBudget::byteRank(const Connection& connection)
{
    switch (connection.stage) {
    case ConnectionStage::Receiving:
        return connection.bufferedBytes > smallRequestBytes ? 0 : 1;
    case ConnectionStage::Sending:
        return 2;
    case ConnectionStage::Unused:
    case ConnectionStage::Idle:
    case ConnectionStage::InProgress:
        return std::nullopt;
    }
    return std::nullopt;
}

std::set<ConnectionBudget::Age>* ConnectionBudget::agesOf(const Connection& connection)
{
    Peer& peer = connection.peer->second;
    switch (connection.stage) {
    case ConnectionStage::Unused:
        return &peer.unused;
    case ConnectionStage::Idle:
        return &peer.idle;
    case ConnectionStage::Receiving:
    case ConnectionStage::Sending:
        return &peer.transferring;
    case ConnectionStage::InProgress:
        return nullptr;
    }
    return nullptr;
}

void ConnectionBudget::addCandidate(Id id, const Connection& connection)
{
    if (const auto rank = byteRank(connection))
        connection.peer->second.holders.emplace(*rank, connection.since, id);
    if (const auto ages = agesOf(connection))
        ages->emplace(connection.since, id);
}

void ConnectionBudget::removeCandidate(Id id, const Connection& connection)
{
    if (const auto rank = byteRank(connection))
        connection.peer->second.holders.erase({ *rank, connection.since, id });
    if (const auto ages = agesOf(connection))
        ages->erase({ connection.since, id });
}

void ConnectionBudget::open(Id id, const std::string& peer, Milliseconds now)
{
    const auto position = peers_.try_emplace(peer).first;
    const Connection& connection
        = connections_.emplace(id, Connection { position, ConnectionStage::Unused, now, 0 }).first->second;
    ++position->second.connections;
    addCandidate(id, connection);
}

void ConnectionBudget::close(Id id)
{
    const auto position = connections_.find(id);
    if (position == connections_.end())
        return;
    setBuffered(id, 0);
    removeCandidate(id, position->second);
    const auto peer = position->second.peer;
    connections_.erase(position);
    if (--peer->second.connections == 0)
        peers_.erase(peer);
}

void ConnectionBudget::setStage(Id id, ConnectionStage stage, Milliseconds since)
{
    const auto position = connections_.find(id);
    if (position == connections_.end())
        return;
    Connection& connection = position->second;
    if (connection.stage == stage && connection.since == since)
        return;
    removeCandidate(id, connection);
    connection.stage = stage;
    connection.since = since;
    addCandidate(id, connection);
}

void ConnectionBudget::setBuffered(Id id, std::size_t bytes)
{
    const auto position = connections_.find(id);
    if (position == connections_.end() || position->second.bufferedBytes == bytes)
        return;
    Connection& connection = position->second;
    removeCandidate(id, connection);
    bufferedBytes_ += bytes - connection.bufferedBytes; // wraps around when it decreases, which is well defined
    connection.peer->second.bufferedBytes += bytes - connection.bufferedBytes;
    connection.bufferedBytes = bytes;
    addCandidate(id, connection);
}

std::size_t ConnectionBudget::requestCost(std::size_t bytes) { return bytes * requestFactor + fixedRequestCost; }

bool ConnectionBudget::mayStartRequest(std::size_t bytes) const
{
    if (requestBytes_ == 0 || requestLimit_ == ConnectionLimits::unlimited)
        return true;
    const std::size_t limit
        = bytes > smallRequestBytes ? requestLimit_ - requestLimit_ / shareForSmallRequests : requestLimit_;
    return requestBytes_ + requestCost(bytes) <= limit;
}

void ConnectionBudget::startRequest(std::size_t bytes) { requestBytes_ += requestCost(bytes); }

void ConnectionBudget::endRequest(std::size_t bytes) { requestBytes_ -= requestCost(bytes); }

std::optional<ConnectionBudget::Choice> ConnectionBudget::connectionToClose(Milliseconds now) const
{
    if (bufferedBytes_ > bufferedLimit_) {
        if (const auto id = holderToClose())
            return Choice { *id, Cause::BufferedBytes };
    }
    if (connections_.size() > connectionLimit_) {
        if (const auto id = excessToClose(now))
            return Choice { *id, Cause::Connections };
    }
    return std::nullopt;
}

std::optional<ConnectionBudget::Id> ConnectionBudget::holderToClose() const
{
    const Peer* largest = nullptr;
    for (const auto& [address, peer] : peers_) {
        if (!peer.holders.empty() && (!largest || peer.bufferedBytes > largest->bufferedBytes))
            largest = &peer;
    }
    if (!largest)
        return std::nullopt;
    return std::get<2>(*largest->holders.begin());
}

std::optional<ConnectionBudget::Id> ConnectionBudget::excessToClose(Milliseconds now) const
{
    std::optional<Excess> first;
    std::size_t connectionsOfFirst = 0;
    for (const auto& [address, peer] : peers_) {
        const auto excess = firstExcess(peer, now);
        if (!excess)
            continue;
        if (!first || excess->rank < first->rank
            || (excess->rank == first->rank && peer.connections > connectionsOfFirst)) {
            first = excess;
            connectionsOfFirst = peer.connections;
        }
    }
    return first ? std::optional<Id>(first->age.second) : std::nullopt;
}

std::optional<ConnectionBudget::Excess> ConnectionBudget::firstExcess(const Peer& peer, Milliseconds now) const
{
    const auto oldest = [](const std::set<Age>& one, const std::set<Age>& other) -> std::optional<Age> {
        if (one.empty() && other.empty())
            return std::nullopt;
        if (one.empty() || other.empty())
            return one.empty() ? *other.begin() : *one.begin();
        return std::min(*one.begin(), *other.begin());
    };
    const auto quiet = oldest(peer.unused, peer.idle);
    if (quiet && now - quiet->first >= quietTime)
        return Excess { ExcessRank::Quiet, *quiet };
    if (headTimeout_ > Milliseconds(0) && !peer.transferring.empty()
        && now - peer.transferring.begin()->first > headTimeout_)
        return Excess { ExcessRank::Slow, *peer.transferring.begin() };
    if (!peer.idle.empty())
        return Excess { ExcessRank::Idle, *peer.idle.begin() };
    // Only the age decides between the others, so that a new connection is the last choice also where the limit is
    // filled by unfinished requests.
    if (const auto other = oldest(peer.unused, peer.transferring))
        return Excess { ExcessRank::Other, *other };
    return std::nullopt;
}

} // namespace rosemarylink::reactor
