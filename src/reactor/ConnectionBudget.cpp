#include "rosemarylink/reactor/ConnectionBudget.h"

namespace rosemarylink::reactor {

namespace {

    // Ordinary bodies have at most 5 KB; with its head, such a request holds less than this.
    constexpr std::size_t smallRequestBytes = 16 * 1024;

    // Between the end of its parsing and its response a submission is held as the job's fields, as its record, as the
    // store call's JSON text (base64, 4/3) and as the bytes of that call that are not sent, up to 4.7 times its size.
    constexpr std::size_t requestFactor = 6;
    constexpr std::size_t fixedRequestCost = 4096;

    // Ranks up to this one hold bytes whose connection can be closed.
    constexpr int lastRankWithBytes = 2;

    constexpr std::size_t shareForSmallRequests = 4;

} // namespace

ConnectionBudget::ConnectionBudget(const ConnectionLimits& limits)
    : connectionLimit_(limits.connections)
    , bufferedLimit_(limits.bufferedBytes)
    , requestLimit_(limits.requestBytes)
{
}

std::optional<int> ConnectionBudget::rankOf(const Connection& connection)
{
    switch (connection.stage) {
    case ConnectionStage::Receiving:
        return connection.bufferedBytes > smallRequestBytes ? 0 : 1;
    case ConnectionStage::Sending:
        return lastRankWithBytes;
    case ConnectionStage::Unused:
    case ConnectionStage::Idle:
        // One rank, so that a new connection, whose request has not been read yet, is the last of them.
        return lastRankWithBytes + 1;
    case ConnectionStage::InProgress:
        return std::nullopt;
    }
    return std::nullopt;
}

void ConnectionBudget::addCandidate(Id id, const Connection& connection)
{
    if (const auto rank = rankOf(connection))
        connection.peer->second.candidates.emplace(*rank, connection.since, id);
}

void ConnectionBudget::removeCandidate(Id id, const Connection& connection)
{
    if (const auto rank = rankOf(connection))
        connection.peer->second.candidates.erase({ *rank, connection.since, id });
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

std::size_t ConnectionBudget::requestCost(std::size_t bodyBytes)
{
    return bodyBytes * requestFactor + fixedRequestCost;
}

bool ConnectionBudget::mayStartRequest(std::size_t bodyBytes) const
{
    if (requestBytes_ == 0 || requestLimit_ == ConnectionLimits::unlimited)
        return true;
    const std::size_t limit
        = bodyBytes > smallRequestBytes ? requestLimit_ - requestLimit_ / shareForSmallRequests : requestLimit_;
    return requestBytes_ + requestCost(bodyBytes) <= limit;
}

void ConnectionBudget::startRequest(std::size_t bodyBytes) { requestBytes_ += requestCost(bodyBytes); }

void ConnectionBudget::endRequest(std::size_t bodyBytes) { requestBytes_ -= requestCost(bodyBytes); }

std::optional<ConnectionBudget::Choice> ConnectionBudget::connectionToClose() const
{
    const bool tooManyBytes = bufferedBytes_ > bufferedLimit_;
    if (!tooManyBytes && connections_.size() <= connectionLimit_)
        return std::nullopt;
    const Peer* largest = nullptr;
    for (const auto& [address, peer] : peers_) {
        if (peer.candidates.empty())
            continue;
        if (tooManyBytes && std::get<0>(*peer.candidates.begin()) > lastRankWithBytes)
            continue;
        if (!largest
            || (tooManyBytes ? peer.bufferedBytes > largest->bufferedBytes : peer.connections > largest->connections))
            largest = &peer;
    }
    if (!largest)
        return std::nullopt;
    return Choice { std::get<2>(*largest->candidates.begin()),
        tooManyBytes ? Cause::BufferedBytes : Cause::Connections };
}

} // namespace rosemarylink::reactor
