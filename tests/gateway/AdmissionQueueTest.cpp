#include "AdmissionQueue.h"

#include "rosemarylink/base/Clock.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <cstdlib>

namespace rosemarylink::gateway::internal {
namespace {

    constexpr Milliseconds farDeadline { 3600000 };

    model::Account account(const std::string& id, double weight, std::int64_t guarantee)
    {
        model::Account result;
        result.id = AccountId(id);
        result.weight = weight;
        result.requestConcurrency = guarantee;
        return result;
    }

    AdmissionRequest request(const std::string& id, bool urgent = false, Milliseconds deadline = farDeadline)
    {
        return { AccountId(id), urgent, deadline };
    }

    TEST_CASE("accounts below their guarantee come first, and urgent requests before the others of their account")
    {
        AccountUsage usage;
        usage.setAccounts({ account("flood", 100, 0), account("small", 1, 1) }, 1);
        AdmissionQueue queue(usage);
        const ServiceRate rate { 1, 1, 1 };
        const auto first = queue.offer(request("flood"), rate, Milliseconds(0)).value();
        const auto guaranteed = queue.offer(request("small"), rate, Milliseconds(0)).value();
        const auto urgent = queue.offer(request("small", true), rate, Milliseconds(0)).value();
        CHECK(queue.nextTickets() == std::vector<AdmissionTicket> { urgent, first });
        queue.admit(urgent);
        usage.recordStart(AccountId("small"));
        // The guarantee is used up, and the account with the greater weight has waited longer.
        CHECK(queue.nextTickets() == std::vector<AdmissionTicket> { first, guaranteed });
    }

    TEST_CASE("a guarantee is divided over the gateways and rounded up")
    {
        AccountUsage usage;
        usage.setAccounts({ account("a", 1, 5) }, 3);
        const AccountId id("a");
        for (int started = 0; started < 2; ++started) {
            CHECK(usage.isBelowGuarantee(id));
            usage.recordStart(id);
        }
        CHECK_FALSE(usage.isBelowGuarantee(id));
        usage.recordFinish(id);
        CHECK(usage.isBelowGuarantee(id));
    }

    TEST_CASE("spare capacity is shared by weight while all accounts wait")
    {
        rc::prop("each account is served in proportion to its weight", [] {
            const auto weights = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 10));
            AccountUsage usage;
            std::vector<model::Account> accounts;
            for (std::size_t index = 0; index < weights.size(); ++index)
                accounts.push_back(account(std::to_string(index), weights[index], 0));
            usage.setAccounts(accounts, 1);
            AdmissionQueue queue(usage);
            constexpr int rounds = 20;
            int total = 0;
            std::map<AdmissionTicket, std::size_t> owners;
            for (std::size_t index = 0; index < weights.size(); ++index) {
                total += weights[index];
                for (int count = 0; count < rounds * weights[index] + rounds; ++count)
                    owners[queue.offer(request(std::to_string(index)), { 1, 0, 0 }, Milliseconds(0)).value()] = index;
            }
            std::vector<int> served(weights.size());
            for (int count = 0; count < rounds * total; ++count) {
                const AdmissionTicket next = queue.nextTickets().front();
                ++served[owners.at(next)];
                queue.admit(next);
            }
            for (std::size_t index = 0; index < weights.size(); ++index)
                RC_ASSERT(std::abs(served[index] - rounds * weights[index]) <= weights[index] + 1);
        });
    }

    TEST_CASE("requests of an account below its guarantee are never evicted")
    {
        rc::prop("evicted requests belong to accounts without a guarantee", [](const std::vector<bool>& guaranteed) {
            AccountUsage usage;
            usage.setAccounts({ account("claims", 1, 1000), account("other", 1, 0) }, 1);
            AdmissionQueue queue(usage);
            std::set<AdmissionTicket> others;
            for (const bool isGuaranteed : guaranteed) {
                const auto ticket
                    = queue.offer(request(isGuaranteed ? "claims" : "other"), { 1, 0, 0 }, Milliseconds(0)).value();
                if (!isGuaranteed)
                    others.insert(ticket);
            }
            while (const auto victim = queue.evictOne())
                RC_ASSERT(others.erase(*victim) == 1U);
            RC_ASSERT(others.empty());
        });
    }

    TEST_CASE("an incoming request evicts only requests of an account with more queued requests per weight")
    {
        AccountUsage usage;
        usage.setAccounts({ account("flood", 1, 0), account("small", 1, 0) }, 1);
        AdmissionQueue queue(usage);
        for (int count = 0; count < 3; ++count)
            REQUIRE(queue.offer(request("flood"), { 1, 0, 0 }, Milliseconds(0)));
        CHECK_FALSE(queue.evictOne(AccountId("flood")));
        CHECK(queue.evictOne(AccountId("small")) == AdmissionTicket(3));
    }

    TEST_CASE(
        "a request that cannot finish in time is refused at once, and one that becomes infeasible later is removed")
    {
        AccountUsage usage;
        AdmissionQueue queue(usage);
        const ServiceRate rate { 1, 100, 100 };
        REQUIRE(queue.offer(request("a"), rate, Milliseconds(0)));
        const auto later = queue.offer(request("a", false, Milliseconds(300)), rate, Milliseconds(0)).value();
        const auto refused = queue.offer(request("a", false, Milliseconds(300)), rate, Milliseconds(0));
        REQUIRE_FALSE(refused);
        CHECK(refused.error().verdict == Verdict::NotRun);
        CHECK(refused.error().retryAfter > Milliseconds(0));
        CHECK(queue.removeInfeasible(rate, Milliseconds(199)).empty());
        CHECK(queue.removeInfeasible(rate, Milliseconds(200)) == std::vector<AdmissionTicket> { later });
        CHECK(queue.size() == 1);
    }

    TEST_CASE("an estimate of the service time that is far too high does not refuse all requests permanently")
    {
        AccountUsage usage;
        AdmissionQueue queue(usage);
        CHECK(queue.offer(request("a", false, Milliseconds(50)), { 1, 60000, 60000 }, Milliseconds(0)));
    }

    // Counts of a simulated minute in which requests with deadlines arrive at a multiple of the capacity.
    struct Burst {
        int finishedInTime = 0;
        int finishedLate = 0;
        int refused = 0;
        int arrived = 0;
        std::size_t longestQueue = 0;
    };

    Burst simulateBurst(int timesCapacity, std::size_t queueLimit)
    {
        constexpr int slots = 8;
        constexpr Milliseconds serviceTime { 20 };
        constexpr Milliseconds timeout { 200 };
        ManualClock clock;
        AccountUsage usage;
        AdmissionQueue queue(usage);
        const ServiceRate rate { slots, static_cast<double>(serviceTime.count()),
            static_cast<double>(serviceTime.count()) };
        std::map<AdmissionTicket, Milliseconds> deadlines;
        std::multimap<Milliseconds, Milliseconds> running; // end, deadline
        Burst burst;
        double due = 0;
        for (; clock.monotonic() < Milliseconds(60000); clock.advance(Milliseconds(1))) {
            const Milliseconds now = clock.monotonic();
            while (!running.empty() && running.begin()->first <= now) {
                ++(running.begin()->first <= running.begin()->second ? burst.finishedInTime : burst.finishedLate);
                running.erase(running.begin());
            }
            due += timesCapacity * slots / static_cast<double>(serviceTime.count());
            for (; due >= 1; due -= 1) {
                ++burst.arrived;
                if (queue.size() >= queueLimit && !queue.evictOne(AccountId("caller"))) {
                    ++burst.refused;
                    continue;
                }
                const auto ticket = queue.offer(request("caller", false, now + timeout), rate, now);
                if (ticket)
                    deadlines[ticket.value()] = now + timeout;
                else
                    ++burst.refused;
            }
            burst.refused += static_cast<int>(queue.removeInfeasible(rate, now).size());
            while (running.size() < slots && queue.size() > 0) {
                const AdmissionTicket next = queue.nextTickets().front();
                queue.admit(next);
                running.emplace(now + serviceTime, deadlines.at(next));
            }
            burst.longestQueue = std::max(burst.longestQueue, queue.size());
        }
        return burst;
    }

    TEST_CASE(
        "a one-minute burst of ten times the capacity keeps the goodput, bounds the queue and finishes no request late")
    {
        const Burst ordinary = simulateBurst(1, 64);
        const Burst burst = simulateBurst(10, 64);
        CHECK(burst.longestQueue <= 64);
        CHECK(burst.finishedInTime >= ordinary.finishedInTime * 9 / 10);
        CHECK(burst.finishedLate == 0);
        CHECK(burst.refused >= burst.arrived * 8 / 10);
    }

} // namespace
} // namespace rosemarylink::gateway::internal
