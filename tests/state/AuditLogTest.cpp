#include "ConfigFakes.h"

#include "rosemarylink/state/AuditLog.h"

#include <catch2/catch.hpp>

namespace rosemarylink::state {
namespace {

    using namespace fakes;

    // 300 changes at intervals of one minute; every tenth is made by bob.
    struct History {
        ManualClock clock;
        FakeStoreBackend backend { clock };
        FakeStoreClient storeClient { backend };
        ConfigStore store { storeClient, clock };
        AuditLog audit { storeClient };

        History()
        {
            for (int version = 1; version <= 300; ++version) {
                clock.advance(Milliseconds(60000));
                REQUIRE(store.propose(
                    makeProposal(ConfigVersion(version - 1), version, version % 10 == 0 ? "bob" : "alice")));
            }
            storeClient.reads = 0;
        }
    };

    TEST_CASE("audit entries are returned newest first, up to the limit")
    {
        History history;
        AuditFilter filter;
        filter.limit = 3;
        const auto entries = history.audit.read(filter).value();
        REQUIRE(entries.size() == 3);
        CHECK(entries[0].toVersion == ConfigVersion(300));
        CHECK(entries[2].toVersion == ConfigVersion(298));
        CHECK(history.storeClient.reads == 1); // the record only
    }

    TEST_CASE("audit filters select by operator, time and version")
    {
        History history;
        AuditFilter filter;
        filter.limit = 1000;
        filter.changedBy = OperatorId("bob");
        CHECK(history.audit.read(filter).value().size() == 30);
        filter.since = timestampFromMilliseconds(60000 * 100);
        filter.until = timestampFromMilliseconds(60000 * 200);
        CHECK(history.audit.read(filter).value().size() == 11);
        filter = {};
        filter.firstVersion = ConfigVersion(60);
        filter.lastVersion = ConfigVersion(70);
        const auto range = history.audit.read(filter).value();
        REQUIRE(range.size() == 11); // over two pages
        CHECK(range.front().toVersion == ConfigVersion(70));
        CHECK(range.back().toVersion == ConfigVersion(60));
    }

    TEST_CASE("reading stops at the oldest page that can match")
    {
        History history;
        AuditFilter filter;
        filter.limit = 1000;
        filter.since = history.clock.now() - Milliseconds(60000);
        CHECK(history.audit.read(filter).value().size() == 2);
        CHECK(history.storeClient.reads <= 2);
    }

    // Reading a page before the record would miss entries that are moved to the page in between.
    TEST_CASE("entries moved to a page during a read are returned")
    {
        ManualClock clock;
        FakeStoreBackend backend(clock);
        FakeStoreClient storeClient(backend);
        FakeStoreClient readerClient(backend);
        ConfigStore store(storeClient, clock);
        AuditLog audit(readerClient);
        for (int version = 1; version <= 128; ++version)
            REQUIRE(store.propose(makeProposal(ConfigVersion(version - 1), version)));
        for (const int moveAtCall : { 1, 2 }) {
            int calls = 0;
            const std::int64_t current = store.read().value()->version.value();
            readerClient.before = [&](const std::string&) {
                if (++calls == moveAtCall)
                    REQUIRE(store.propose(makeProposal(ConfigVersion(current), static_cast<int>(current) + 1)));
            };
            AuditFilter filter;
            filter.limit = 1000;
            const auto entries = audit.read(filter).value();
            CHECK(entries.size() >= static_cast<std::size_t>(current));
            CHECK(entries.back().toVersion == ConfigVersion(1));
        }
    }

    TEST_CASE("pages are removed once all their entries are older than the retention")
    {
        History history;
        const Timestamp firstPageEnd = timestampFromMilliseconds(60000 * 64);
        CHECK(history.audit.removeExpired(firstPageEnd + AuditLog::defaultRetention).value() == 0);
        CHECK(history.audit.removeExpired(firstPageEnd + AuditLog::defaultRetention + Milliseconds(1)).value() == 1);
        AuditFilter filter;
        filter.limit = 1000;
        const auto entries = history.audit.read(filter).value();
        CHECK(entries.size() == 300 - 64);
        CHECK(entries.back().toVersion == ConfigVersion(65));
    }

    TEST_CASE("an interrupted removal leaves no gap before newer pages")
    {
        History history;
        int removals = 0;
        history.storeClient.before = [&](const std::string& operation) {
            if (operation == "remove" && ++removals == 2)
                history.storeClient.down = true;
        };
        const Timestamp later = history.clock.now() + AuditLog::defaultRetention + Milliseconds(60000);
        REQUIRE_FALSE(history.audit.removeExpired(later));
        history.storeClient.down = false;
        history.storeClient.before = nullptr;
        AuditFilter filter;
        filter.limit = 1000;
        CHECK(history.audit.read(filter).value().back().toVersion == ConfigVersion(65));
        CHECK(history.audit.removeExpired(later).value() >= 1);
        CHECK(history.audit.read(filter).value().size() < 300 - 64);
    }

} // namespace
} // namespace rosemarylink::state
