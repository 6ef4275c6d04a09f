#include "PendingCalls.h"

#include <catch2/catch.hpp>

namespace rosemarylink::transport::internal {
namespace {

    // A connection that only serves as an identity.
    struct NoConnection final : LinkConnection {
        InstanceId id;
        const InstanceId& peer() const override { return id; }
        bool send(const std::string&) override { return false; }
        bool ping() override { return false; }
        std::size_t unsentBytes() const override { return 0; }
        void drop() override { }
    };

    TEST_CASE("a time-out before the message is sent is NotRun, and the message is not sent afterwards")
    {
        NoConnection link;
        PendingCalls calls;
        const auto [id, call] = calls.add();
        const auto outcome = call->wait(Milliseconds(0));
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().code == ErrorCode::DeadlineExceeded);
        CHECK(outcome.error().verdict == Verdict::NotRun);
        CHECK_FALSE(call->beginSend(&link));
    }

    TEST_CASE("a time-out after the message is sent is MayHaveRun")
    {
        NoConnection link;
        PendingCalls calls;
        const auto [id, call] = calls.add();
        REQUIRE(call->beginSend(&link));
        CHECK(call->wait(Milliseconds(0)).error().verdict == Verdict::MayHaveRun);
    }

    // Otherwise another peer, or an earlier connection, could complete a call that it has not received.
    TEST_CASE("an answer is accepted only over the connection that the call was sent over")
    {
        NoConnection link;
        NoConnection other;
        PendingCalls calls;
        const auto [id, call] = calls.add();
        REQUIRE(call->beginSend(&link));
        calls.answer(id, &other, nlohmann::json { { "from", "other" } });
        calls.answer(id + 1, &link, nlohmann::json { { "for", "another call" } });
        calls.failAll(&other);
        calls.answer(id, &link, nlohmann::json { { "from", "link" } });
        calls.answer(id, &link, nlohmann::json { { "from", "link, again" } });
        CHECK(call->wait(Milliseconds(0)).value() == nlohmann::json { { "from", "link" } });
    }

    TEST_CASE("a lost connection fails only the calls sent over it, with MayHaveRun")
    {
        NoConnection link;
        NoConnection other;
        PendingCalls calls;
        const auto [lostId, lost] = calls.add();
        const auto [keptId, kept] = calls.add();
        const auto [unsentId, unsent] = calls.add();
        REQUIRE(lost->beginSend(&link));
        REQUIRE(kept->beginSend(&other));
        calls.failAll(&link);
        CHECK(lost->wait(Milliseconds(0)).error().verdict == Verdict::MayHaveRun);
        calls.answer(keptId, &other, nlohmann::json { { "n", 1 } });
        CHECK(kept->wait(Milliseconds(0)).has_value());
        calls.failAll();
        CHECK(unsent->wait(Milliseconds(0)).error().verdict == Verdict::NotRun);
    }

} // namespace
} // namespace rosemarylink::transport::internal
