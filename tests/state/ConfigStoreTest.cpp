#include "ConfigFakes.h"

#include "rosemarylink/state/AuditLog.h"

#include <catch2/catch.hpp>

#include <set>

namespace rosemarylink::state {
namespace {

    using namespace fakes;

    struct Fixture {
        ManualClock clock;
        FakeStoreBackend backend { clock };
        FakeStoreClient storeClient { backend };
        FakeStoreClient otherClient { backend };
        ConfigStore store { storeClient, clock };
        ConfigStore other { otherClient, clock };
        AuditLog audit { otherClient };

        // Accepts versions 1 to count.
        void fill(int count)
        {
            for (int version = 1; version <= count; ++version) {
                clock.advance(Milliseconds(1000));
                REQUIRE(other.propose(makeProposal(ConfigVersion(version - 1), version)));
            }
        }

        std::set<std::int64_t> auditedVersions()
        {
            AuditFilter filter;
            filter.limit = 10000;
            std::set<std::int64_t> versions;
            const auto entries = audit.read(filter).value();
            for (const auto& entry : entries)
                versions.insert(entry.toVersion.value());
            CHECK(versions.size() == entries.size()); // no version twice
            return versions;
        }

        void checkAuditComplete(int versions)
        {
            const auto audited = auditedVersions();
            REQUIRE(audited.size() == static_cast<std::size_t>(versions));
            CHECK(*audited.begin() == 1);
            CHECK(*audited.rbegin() == versions);
        }
    };

    TEST_CASE("each accepted change makes the next version with its audit entry")
    {
        Fixture fixture;
        CHECK_FALSE(fixture.store.read().value());
        fixture.clock.advance(Milliseconds(5000));
        const auto first = fixture.store.propose(makeProposal(ConfigVersion(0), 1, "alice", "op-1")).value();
        CHECK(first.version == ConfigVersion(1));
        CHECK(first.changed);
        const auto second = fixture.store.propose(makeProposal(ConfigVersion(1), 2, "bob", "op-2")).value();
        CHECK(second.version == ConfigVersion(2));
        const auto record = fixture.store.read().value().value();
        CHECK(record.version == ConfigVersion(2));
        CHECK(record.operation == OperationId("op-2"));
        REQUIRE(record.audit.size() == 2);
        CHECK(record.audit[1].changedBy == OperatorId("bob"));
        CHECK(record.audit[1].fromVersion == ConfigVersion(1));
        CHECK(record.audit[1].toVersion == ConfigVersion(2));
        CHECK(record.audit[1].at == timestampFromMilliseconds(5000));
    }

    TEST_CASE("nothing is written when nothing differs")
    {
        Fixture fixture;
        fixture.fill(2);
        const auto same = fixture.store.propose(makeProposal(ConfigVersion(2), 2)).value();
        CHECK_FALSE(same.changed);
        CHECK(same.version == ConfigVersion(2));
        // Equal declarations are accepted even when the proposal is based on an earlier version.
        CHECK_FALSE(fixture.store.propose(makeProposal(ConfigVersion(1), 2)).value().changed);
        CHECK(fixture.storeClient.writes == 0);
    }

    TEST_CASE("a change based on an earlier version is refused and names who changed it and when")
    {
        Fixture fixture;
        REQUIRE(fixture.store.propose(makeProposal(ConfigVersion(0), 1, "alice")));
        fixture.clock.advance(Milliseconds(60000));
        REQUIRE(fixture.store.propose(makeProposal(ConfigVersion(1), 2, "bob")));
        const auto late = fixture.other.propose(makeProposal(ConfigVersion(1), 3, "carol"));
        REQUIRE_FALSE(late);
        CHECK(late.error().code == ErrorCode::Conflict);
        CHECK(late.error().verdict == Verdict::NotRun);
        CHECK_THAT(late.error().message, Catch::Contains("bob") && Catch::Contains("1970-01-01T00:01:00.000"));
        const auto ahead = fixture.other.propose(makeProposal(ConfigVersion(7), 3, "carol"));
        REQUIRE_FALSE(ahead);
        CHECK(ahead.error().code == ErrorCode::Conflict);
    }

    // Both operators read the same version before either writes.
    TEST_CASE("of two concurrent changes one is accepted and the other fails with the name of the first operator")
    {
        Fixture fixture;
        fixture.fill(1);
        bool raced = false;
        fixture.storeClient.before = [&](const std::string& operation) {
            if (operation != "compareAndSwap" || raced)
                return;
            raced = true;
            REQUIRE(fixture.other.propose(makeProposal(ConfigVersion(1), 5, "bob")));
        };
        const auto loser = fixture.store.propose(makeProposal(ConfigVersion(1), 6, "alice"));
        REQUIRE_FALSE(loser);
        CHECK(loser.error().code == ErrorCode::Conflict);
        CHECK(loser.error().verdict == Verdict::NotRun);
        CHECK_THAT(loser.error().message, Catch::Contains("bob"));
        CHECK(fixture.store.read().value()->version == ConfigVersion(2));
        fixture.checkAuditComplete(2);
    }

    // The change to version 129 makes two writes, an audit page and the record. The request or the reply of each is
    // lost in turn.
    TEST_CASE("the operation id resolves a lost request or reply of each write")
    {
        for (const int before : { 1, 127, 128 }) {
            for (const int write : { 1, 2 }) {
                for (const bool reply : { true, false }) {
                    Fixture fixture;
                    fixture.fill(before);
                    (reply ? fixture.storeClient.loseReplyAtWrite : fixture.storeClient.loseRequestAtWrite) = write;
                    const auto accepted = fixture.store.propose(makeProposal(ConfigVersion(before), 1000));
                    INFO("before=" << before << " write=" << write << " reply=" << reply);
                    REQUIRE(accepted);
                    CHECK(accepted.value().changed);
                    CHECK(accepted.value().version == ConfigVersion(before + 1));
                    fixture.checkAuditComplete(before + 1);
                }
            }
        }
    }

    TEST_CASE("a change with unknown outcome is accepted once when it is retried with its operation id")
    {
        for (const bool reply : { true, false }) {
            Fixture fixture;
            fixture.fill(3);
            (reply ? fixture.storeClient.loseReplyAtWrite : fixture.storeClient.loseRequestAtWrite) = 1;
            fixture.storeClient.downAfterLoss = true;
            const auto proposal = makeProposal(ConfigVersion(3), 1000, "alice", "op-repeated");
            const auto unknown = fixture.store.propose(proposal);
            REQUIRE_FALSE(unknown);
            CHECK(unknown.error().verdict == Verdict::MayHaveRun);
            CHECK_THAT(unknown.error().message, Catch::Contains("op-repeated"));
            fixture.storeClient.down = false;
            const auto settled = fixture.store.propose(proposal);
            REQUIRE(settled);
            CHECK(settled.value().version == ConfigVersion(4));
            // A retry after a later change still returns the version that the first attempt made.
            REQUIRE(fixture.other.propose(makeProposal(ConfigVersion(4), 2000)));
            CHECK(fixture.store.propose(proposal).value().version == ConfigVersion(4));
            CHECK(fixture.store.read().value()->version == ConfigVersion(5));
            fixture.checkAuditComplete(5);
        }
    }

    TEST_CASE("a lost reply followed by another operator's change is resolved for both")
    {
        Fixture fixture;
        fixture.fill(1);
        fixture.storeClient.loseReplyAtWrite = 1;
        int reads = 0;
        fixture.storeClient.before = [&](const std::string& operation) {
            // The second read is the one that resolves the lost reply.
            if (operation == "read" && ++reads == 2)
                REQUIRE(fixture.other.propose(makeProposal(ConfigVersion(2), 7, "bob")));
        };
        const auto accepted = fixture.store.propose(makeProposal(ConfigVersion(1), 6, "alice"));
        REQUIRE(accepted);
        CHECK(accepted.value().version == ConfigVersion(2));
        CHECK(accepted.value().current.version == ConfigVersion(3));
    }

    TEST_CASE("a change fails with NotRun while the store is down and with MayHaveRun while it is slow")
    {
        Fixture fixture;
        fixture.fill(1);
        fixture.storeClient.down = true;
        const auto down = fixture.store.propose(makeProposal(ConfigVersion(1), 6));
        REQUIRE_FALSE(down);
        CHECK(down.error().code == ErrorCode::Unavailable);
        CHECK(down.error().verdict == Verdict::NotRun);
        fixture.storeClient.down = false;
        fixture.storeClient.before = [&](const std::string& operation) {
            if (operation == "compareAndSwap")
                fixture.storeClient.delay = Milliseconds(2000);
        };
        const auto slow = fixture.store.propose(makeProposal(ConfigVersion(1), 6));
        REQUIRE_FALSE(slow);
        CHECK(slow.error().verdict == Verdict::MayHaveRun);
    }

    // A process must not overwrite fields of a later schema version, which it would drop.
    TEST_CASE("a record of another schema version is rejected and not overwritten")
    {
        Fixture fixture;
        const nlohmann::json record = { { "schemaVersion", 2 }, { "more", 1 } };
        std::string bytes;
        nlohmann::json::to_cbor(record, bytes);
        REQUIRE(fixture.otherClient.compareAndSwap(configKey, Revision(0), bytes));
        CHECK(fixture.store.read().error().code == ErrorCode::Unsupported);
        CHECK(fixture.store.propose(makeProposal(ConfigVersion(1), 6)).error().code == ErrorCode::Unsupported);
        CHECK(fixture.storeClient.writes == 0);
    }

    TEST_CASE("declarations out of range or too large for the store are rejected")
    {
        Fixture fixture;
        auto proposal = makeProposal(ConfigVersion(0), 1);
        proposal.declarations.accounts[0].weight = -1;
        CHECK(fixture.store.propose(proposal).error().code == ErrorCode::InvalidArgument);
        proposal = makeProposal(ConfigVersion(0), 1);
        for (int number = 0; number < 10000; ++number)
            proposal.declarations.guarantees.push_back({ "shape-" + std::to_string(number), AccountId("account"),
                RegionId("amman"), 1, 8, { Cores(1), Megabytes(1000), Accelerators(1) }, model::Adjacency::Rack });
        CHECK(fixture.store.propose(proposal).error().code == ErrorCode::InvalidArgument);
        CHECK(fixture.storeClient.writes == 0);
    }

    TEST_CASE("the record keeps 64 to 128 audit entries and every entry stays readable")
    {
        Fixture fixture;
        for (int version = 1; version <= 300; ++version) {
            REQUIRE(fixture.store.propose(makeProposal(ConfigVersion(version - 1), version)));
            const auto embedded = fixture.store.read().value()->audit.size();
            CHECK(embedded <= 128);
            CHECK(embedded >= static_cast<std::size_t>(std::min(version, 64)));
        }
        fixture.checkAuditComplete(300);
        CHECK(fixture.backend.entries().count("audit/000000000001") == 1);
        CHECK(fixture.backend.entries().count("audit/000000000065") == 1);
    }

    // The process crashes after writing the page and before writing the record; another operator's change follows.
    TEST_CASE("the next change completes a move of audit entries that was interrupted after the page was written")
    {
        Fixture fixture;
        fixture.fill(128);
        fixture.storeClient.before = [&](const std::string& operation) {
            if (operation == "compareAndSwap" && fixture.storeClient.writes == 1)
                fixture.storeClient.down = true;
        };
        REQUIRE_FALSE(fixture.store.propose(makeProposal(ConfigVersion(128), 1000)));
        CHECK(fixture.backend.entries().count("audit/000000000001") == 1);
        fixture.checkAuditComplete(128);
        REQUIRE(fixture.other.propose(makeProposal(ConfigVersion(128), 2000)));
        fixture.checkAuditComplete(129);
    }

    TEST_CASE("two changes that move the same audit page concurrently neither lose nor duplicate entries")
    {
        Fixture fixture;
        fixture.fill(128);
        bool raced = false;
        fixture.storeClient.before = [&](const std::string& operation) {
            if (operation != "compareAndSwap" || raced)
                return;
            raced = true;
            REQUIRE(fixture.other.propose(makeProposal(ConfigVersion(128), 5, "bob")));
        };
        CHECK(fixture.store.propose(makeProposal(ConfigVersion(128), 6)).error().code == ErrorCode::Conflict);
        fixture.checkAuditComplete(129);
    }

} // namespace
} // namespace rosemarylink::state
