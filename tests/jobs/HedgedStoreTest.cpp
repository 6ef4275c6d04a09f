#include "rosemarylink/jobs/HedgedStore.h"
#include "SimStore.h"
#include "SimWorld.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

namespace {

    // Passes the first attempts on after `delay` more, with or without their response.
    class FirstAttempts final : public RecordStore {
    public:
        FirstAttempts(SimStoreClient& client, SimWorld& world)
            : client_(client)
            , world_(world)
        {
        }

        bool losing = false;
        Milliseconds delay { 0 };
        int calls = 0;

        std::size_t maximumValueBytes() const override { return 1024 * 1024; }
        void commit(const Batch& batch, Milliseconds timeout, StoreHandler handler) override
        {
            send(timeout, handler,
                [this, batch, timeout](const StoreHandler& handle) { client_.commit(batch, timeout, handle); });
        }
        void read(const std::string& key, Milliseconds timeout, StoreHandler handler) override
        {
            send(timeout, handler,
                [this, key, timeout](const StoreHandler& handle) { client_.read(key, timeout, handle); });
        }
        void list(const std::string&, Milliseconds, StoreHandler) override { }
        void watch(const std::string&, Revision, Milliseconds, StoreHandler) override { }
        void grantLease(Milliseconds ttl, Milliseconds timeout, StoreHandler handler) override
        {
            send(timeout, handler,
                [this, ttl, timeout](const StoreHandler& handle) { client_.grantLease(ttl, timeout, handle); });
        }
        void keepLease(StoreLeaseId, Milliseconds, StoreHandler) override { }
        void endLease(StoreLeaseId, Milliseconds, StoreHandler) override { }

    private:
        void send(
            Milliseconds timeout, const StoreHandler& handler, const std::function<void(const StoreHandler&)>& call)
        {
            ++calls;
            if (losing)
                world_.after(timeout, [handler] { handler({}); });
            const StoreHandler handle = losing ? [](const StoreResponse&) {} : handler;
            world_.after(delay, [call, handle] { call(handle); });
        }

        SimStoreClient& client_;
        SimWorld& world_;
    };

    struct Fixture {
        SimWorld world;
        SimStore store { world };
        SimStoreClient client { world, store };
        FirstAttempts first { client, world };
        MetricsRegistry registry;
        HedgedStore hedged { first, client, world, world.clock(), registry };

        Fixture()
        {
            store.put("known", "x");
            for (int number = 0; number < 16; ++number)
                hedged.read("known", Milliseconds(900), [](const StoreResponse&) {});
            world.run(Milliseconds(1000));
            client.calls = 0;
        }

        struct Answer {
            StoreResponse response;
            Milliseconds took { 0 };
            int count = 0;
        };

        std::shared_ptr<Answer> commit(const Batch& batch)
        {
            auto answer = std::make_shared<Answer>();
            hedged.commit(batch, Milliseconds(900), handlerOf(answer));
            return answer;
        }
        StoreHandler handlerOf(const std::shared_ptr<Answer>& answer)
        {
            return [this, answer, before = world.now()](const StoreResponse& response) {
                *answer = { response, world.now() - before, answer->count + 1 };
            };
        }
    };

    Batch creation(const std::string& key, const std::string& value)
    {
        Batch batch;
        batch.preconditions = { { key, Revision(0) } };
        batch.puts = { { key, value } };
        return batch;
    }

} // namespace

// Guards against callers that wait for the timeout of a call whose response was lost.
TEST_CASE("a write whose response was lost is Done with its own revision after a further attempt")
{
    Fixture fixture;
    fixture.first.losing = true;
    const auto answer = fixture.commit(creation("a", "mine"));
    fixture.world.run(Milliseconds(3000));
    REQUIRE(answer->count == 1);
    CHECK(answer->response.done());
    CHECK(answer->response.revision == fixture.store.find("a")->revision);
    CHECK(answer->took <= HedgePolicy::shortestDelay + Milliseconds(20));
}

// Guards against taking the record of another writer for that of an earlier attempt.
TEST_CASE("a write that another writer preceded is a conflict, with the earlier attempt unresolved")
{
    Fixture fixture;
    fixture.first.losing = true;
    fixture.first.delay = Milliseconds(400);
    const auto answer = fixture.commit(creation("a", "mine"));
    fixture.world.run(Milliseconds(50));
    fixture.store.put("a", "theirs");
    fixture.world.run(Milliseconds(3000));
    REQUIRE(answer->count == 1);
    CHECK(answer->response.outcome == StoreOutcome::Conflict);
    CHECK(answer->response.unresolvedAttempt);
    CHECK(fixture.store.find("a")->value == "theirs");
}

// Guards against `not run` for a write that takes effect: its first attempt got no response, the further one a refusal.
TEST_CASE("a write is unresolved if a further attempt is refused and the first gets no response")
{
    Fixture fixture;
    fixture.first.losing = true;
    const auto answer = fixture.commit(creation("a", "mine"));
    fixture.world.run(Milliseconds(100));
    fixture.store.mode = SimStore::Mode::Refusing;
    fixture.world.run(Milliseconds(3000));
    REQUIRE(answer->count == 1);
    CHECK(answer->response.outcome == StoreOutcome::Unknown);
    CHECK(fixture.store.find("a") != nullptr);
}

// Guards against a second execution that changes the state: a record that was removed and written again by another
// writer would be removed by the late attempt.
TEST_CASE("a write is attempted again only if a second execution is harmless")
{
    Fixture fixture;
    fixture.first.losing = true;
    Batch batch;
    batch.preconditions = { { "known", fixture.store.find("known")->revision } };
    batch.removals = { "other" };
    const int before = fixture.first.calls;
    const auto answer = fixture.commit(batch);
    fixture.world.run(Milliseconds(3000));
    CHECK(answer->response.outcome == StoreOutcome::Unknown);
    CHECK(fixture.first.calls == before + 1);
    CHECK(fixture.client.calls == 1);
    batch.mayRepeat = true;
    const auto repeated = fixture.commit(batch);
    fixture.world.run(Milliseconds(3000));
    CHECK(repeated->response.done());
    CHECK(repeated->took <= Milliseconds(200));
}

// Guards against twice the calls of all instances to a store that is slow.
TEST_CASE("a store that becomes slow for all gets few further attempts")
{
    Fixture fixture;
    fixture.store.oneWayLatency = Milliseconds(120);
    constexpr int calls = 200;
    int answered = 0;
    for (int number = 0; number < calls; ++number) {
        fixture.hedged.read("known", Milliseconds(900),
            [&answered](const StoreResponse& response) { answered += response.done() ? 1 : 0; });
        fixture.world.run(Milliseconds(50));
    }
    fixture.world.run(Milliseconds(1000));
    CHECK(answered == calls);
    CHECK(fixture.client.calls - calls <= 10);
}

// Guards against further attempts without a limit while a store is silent or loses most responses.
TEST_CASE("further attempts stay within the budget")
{
    const bool silent = GENERATE(true, false);
    Fixture fixture;
    fixture.store.random.seed(7);
    if (silent)
        fixture.store.mode = SimStore::Mode::Silent;
    else
        fixture.store.lostShare = 0.8;
    constexpr int calls = 300;
    for (int number = 0; number < calls; ++number) {
        fixture.hedged.read("known", Milliseconds(900), [](const StoreResponse&) {});
        fixture.world.run(Milliseconds(20));
    }
    fixture.world.run(Milliseconds(1000));
    const int further = fixture.client.calls - calls;
    CHECK(further > 0);
    CHECK(further <= HedgePolicy::attemptsPerCall * calls + HedgePolicy::largestBudget);
    if (silent)
        CHECK(further <= 7);
    CHECK(fixture.hedged.losesResponses());
    fixture.store.mode = SimStore::Mode::Up;
    fixture.store.lostShare = 0;
    fixture.world.run(Milliseconds(3000));
    CHECK_FALSE(fixture.hedged.losesResponses());
}

} // namespace rosemarylink::jobs
