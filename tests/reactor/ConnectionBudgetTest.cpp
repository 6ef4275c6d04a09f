#include "rosemarylink/reactor/ConnectionBudget.h"
#include "rosemarylink/jobs/PoolOwner.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <random>

namespace rosemarylink::reactor {

namespace {

    constexpr std::size_t kilobyte = 1024;

    ConnectionLimits smallLimits()
    {
        ConnectionLimits limits;
        limits.connections = 4;
        limits.bufferedBytes = 512 * kilobyte;
        limits.requestBytes = 4096 * kilobyte;
        return limits;
    }

    Milliseconds at(std::int64_t time) { return Milliseconds(time); }

    void receive(ConnectionBudget& budget, ConnectionBudget::Id id, std::int64_t since, std::size_t bytes)
    {
        budget.setStage(id, ConnectionStage::Receiving, at(since));
        budget.setBuffered(id, bytes);
    }

} // namespace

// Guards against ordinary callers that are closed while clients with unfinished large bodies use up the bytes.
TEST_CASE("bytes over the budget close the oldest unfinished large request of the peer that holds most")
{
    ConnectionBudget budget(smallLimits());
    budget.open(1, "a", at(0));
    budget.open(2, "b", at(0));
    budget.open(3, "b", at(0));
    budget.open(4, "b", at(0));
    receive(budget, 1, 1, 200 * kilobyte);
    receive(budget, 2, 2, 2 * kilobyte); // small, and older than the large ones of its peer
    receive(budget, 3, 4, 200 * kilobyte);
    CHECK_FALSE(budget.connectionToClose(at(20)));
    receive(budget, 4, 3, 200 * kilobyte);
    const auto choice = budget.connectionToClose(at(20));
    REQUIRE(choice);
    CHECK(choice->connection == 4);
    CHECK(choice->cause == ConnectionBudget::Cause::BufferedBytes);
    budget.close(4);
    CHECK_FALSE(budget.connectionToClose(at(20)));
}

// Guards against ordinary requests in arrival and responses that are cut off while quiet or slow connections exist, and
// against a request in progress that is cut off, after which its caller does not know whether it has run.
TEST_CASE("too many connections close quiet ones, slow ones, idle ones and then the oldest, and none in progress")
{
    ConnectionLimits limits = smallLimits();
    limits.connections = 0;
    limits.headTimeout = Milliseconds(10000);
    ConnectionBudget budget(limits);
    for (ConnectionBudget::Id id = 1; id <= 10; ++id)
        budget.open(id, id == 2 || id == 6 ? "b" : "a", at(0));
    constexpr std::int64_t now = 20000;
    budget.setStage(1, ConnectionStage::InProgress, at(0));
    receive(budget, 2, now - 500, 10); // an ordinary request in arrival, at a peer with few connections
    budget.setStage(3, ConnectionStage::Sending, at(now - 400));
    budget.setStage(4, ConnectionStage::Idle, at(now - 300));
    budget.setStage(5, ConnectionStage::Unused, at(now - 200));
    receive(budget, 6, now - 11000, 200 * kilobyte);
    budget.setStage(7, ConnectionStage::Sending, at(now - 12000));
    budget.setStage(8, ConnectionStage::Unused, at(now - 1500));
    budget.setStage(9, ConnectionStage::Idle, at(now - 2000));
    receive(budget, 10, now - 100, 200 * kilobyte);
    for (const ConnectionBudget::Id expected : { 9, 8, 7, 6, 4, 3, 5, 10, 2 }) {
        const auto choice = budget.connectionToClose(at(now));
        REQUIRE(choice);
        CHECK(choice->connection == expected);
        CHECK(choice->cause == ConnectionBudget::Cause::Connections);
        budget.close(expected);
    }
    CHECK_FALSE(budget.connectionToClose(at(now)));
}

// Guards against bytes over the budget that close connections which hold none.
TEST_CASE("bytes over the budget close large unfinished requests, small ones and unread responses, and no others")
{
    ConnectionLimits limits = smallLimits();
    limits.bufferedBytes = 0;
    limits.connections = 10;
    ConnectionBudget budget(limits);
    for (ConnectionBudget::Id id = 1; id <= 6; ++id) {
        budget.open(id, "a", at(0));
        budget.setBuffered(id, 10);
    }
    budget.setStage(1, ConnectionStage::InProgress, at(0));
    budget.setStage(2, ConnectionStage::Idle, at(1));
    budget.setStage(4, ConnectionStage::Sending, at(3));
    receive(budget, 5, 4, 10);
    receive(budget, 6, 5, 20 * kilobyte);
    for (const ConnectionBudget::Id expected : { 6, 5, 4 }) {
        const auto choice = budget.connectionToClose(at(50000));
        REQUIRE(choice);
        CHECK(choice->connection == expected);
        CHECK(choice->cause == ConnectionBudget::Cause::BufferedBytes);
        budget.close(expected);
    }
    CHECK_FALSE(budget.connectionToClose(at(50000)));
}

// Guards against idle connections that fill the limit, so that each new connection is closed before its request is
// read.
TEST_CASE("a new connection over the limit closes the oldest idle connection and stays open itself")
{
    ConnectionBudget budget(smallLimits());
    for (ConnectionBudget::Id id = 1; id <= 4; ++id) {
        budget.open(id, "a", at(0));
        budget.setStage(id, ConnectionStage::Idle, at(10 - static_cast<std::int64_t>(id)));
    }
    budget.open(5, "a", at(20));
    const auto choice = budget.connectionToClose(at(20));
    REQUIRE(choice);
    CHECK(choice->connection == 4);
    CHECK(choice->cause == ConnectionBudget::Cause::Connections);
    budget.close(4);
    CHECK_FALSE(budget.connectionToClose(at(20)));
}

// Guards against large requests that take the whole budget, and against a budget that refuses a single legal request.
TEST_CASE("a part of the request budget is kept for small requests and a single request is always allowed")
{
    ConnectionLimits limits = smallLimits();
    limits.requestBytes = 1024 * kilobyte;
    ConnectionBudget budget(limits);
    CHECK(budget.mayStartRequest(256 * kilobyte));
    budget.startRequest(100 * kilobyte);
    CHECK_FALSE(budget.mayStartRequest(100 * kilobyte));
    CHECK(budget.mayStartRequest(5 * kilobyte));
    budget.endRequest(100 * kilobyte);
    CHECK(budget.requestBytes() == 0);
}

// Guards against counts that drift, until a budget that is counted too high refuses every client.
TEST_CASE("counts of connections, bytes and requests match a plain model and end at zero")
{
    rc::prop("counts", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        const auto pick
            = [&random](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
        ConnectionBudget budget(smallLimits());
        std::map<ConnectionBudget::Id, std::size_t> held;
        std::vector<std::size_t> requests;
        ConnectionBudget::Id next = 0;
        for (int step = 0; step < 200; ++step) {
            const ConnectionBudget::Id id = next == 0 ? 0 : pick(next);
            const Milliseconds now = at(step);
            switch (pick(6)) {
            case 0:
                held[next] = 0;
                budget.open(next++, "peer" + std::to_string(pick(3)), now);
                break;
            case 1:
                budget.close(id);
                held.erase(id);
                break;
            case 2:
                budget.setStage(id, static_cast<ConnectionStage>(pick(5)), now);
                break;
            case 3: {
                const std::size_t bytes = pick(400 * kilobyte);
                budget.setBuffered(id, bytes);
                if (held.count(id) > 0)
                    held[id] = bytes;
                break;
            }
            case 4:
                requests.push_back(pick(256 * kilobyte));
                budget.startRequest(requests.back());
                break;
            default:
                if (!requests.empty()) {
                    budget.endRequest(requests.back());
                    requests.pop_back();
                }
            }
            std::size_t sum = 0;
            for (const auto& [connection, bytes] : held)
                sum += bytes;
            RC_ASSERT(budget.bufferedBytes() == sum);
            RC_ASSERT(budget.connections() == held.size());
            if (const auto choice = budget.connectionToClose(now))
                RC_ASSERT(held.count(choice->connection) == 1U);
        }
        for (const auto& [connection, bytes] : held)
            budget.close(connection);
        for (const std::size_t request : requests)
            budget.endRequest(request);
        RC_ASSERT(budget.connections() == 0U);
        RC_ASSERT(budget.bufferedBytes() == 0U);
        RC_ASSERT(budget.requestBytes() == 0U);
        RC_ASSERT(budget.peers() == 0U);
    });
}

// Guards against defaults that a legal request or an owner's own connections would exceed on the smallest machine.
TEST_CASE("the limits derived for the smallest machine leave room for legal requests and for the owner")
{
    const ConnectionLimits limits = callerLimitsFor(160, 4100);
    CHECK(limits.message.bodyBytes == 262144);
    CHECK(limits.bufferedBytes >= 4 * (limits.message.bodyBytes + limits.message.headerBytes));
    CHECK(limits.requestBytes >= 4 * ConnectionBudget::requestCost(limits.message.bodyBytes));
    CHECK(limits.connections >= 1000);
    CHECK(limits.connections + 200 + 350 * 7 / 2 <= 4100);
    CHECK(limits.bufferedBytes + limits.requestBytes + limits.connections * limits.kernelBufferBytes
        <= 160 * kilobyte * kilobyte / 2);
    // Everything at its limit at once, with 20 MB for the process itself. Linux doubles the sizes of its buffers.
    const std::size_t kernelBytes = limits.connections * 2 * (limits.kernelBufferBytes + limits.kernelSendBufferBytes);
    CHECK(limits.bufferedBytes + limits.requestBytes + kernelBytes + jobs::jobMemoryFor(160)
        <= 140 * kilobyte * kilobyte);
    CHECK(callerLimitsFor(0, 0).connections == ConnectionLimits::unlimited);
    CHECK(callerLimitsFor(0, 0).bufferedBytes == ConnectionLimits::unlimited);
}

} // namespace rosemarylink::reactor
