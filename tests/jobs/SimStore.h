#pragma once

#include "SimWorld.h"
#include "rosemarylink/jobs/RecordStore.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rosemarylink::jobs {

// The simulated store. Instances use it through SimStoreClient, each of which can be cut off separately.
class SimStore {
public:
    explicit SimStore(SimWorld& world)
        : world_(world)
    {
    }

    enum class Mode {
        Up,
        Refusing, // refuses all calls, without effect
        Silent, // ignores all calls
    };

    Mode mode = Mode::Up;
    Milliseconds oneWayLatency { 3 };
    std::size_t valueBytes = 1024 * 1024; // limit on a value; a batch with a larger one is rejected
    bool refusesWrites = false; // refuses commits and serves all other calls
    double lostResponseShare = 0; // share of the commits that are executed but get no response
    double lostShare = 0; // share of all calls, including watches, that are executed but get no response
    Milliseconds lostResponseWriteDelay { 0 }; // additional delay until those commits are executed
    std::mt19937 random { 1 };

    // Writes directly, as operators and workers do.
    Revision put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    const Record* find(const std::string& key) const;
    std::size_t countWithPrefix(const std::string& prefix) const;
    void forgetHistory() { historyStart_ = revision_; }

private:
    friend class SimStoreClient;

    struct Change {
        Revision revision;
        Record record;
        bool removed = false;
    };
    struct Watcher {
        std::string prefix;
        Revision after;
        std::function<void(const StoreResponse&)> handler;
    };

    StoreResponse apply(const Batch&);
    bool losesAnyCall() { return lostShare > 0 && std::uniform_real_distribution<>(0, 1)(random) < lostShare; }
    void change(const std::string& key, const std::string* value, Revision revision);
    StoreResponse changesWithPrefix(const std::string& prefix, Revision after) const;
    void notify();
    void expireLeases();

    SimWorld& world_;
    std::map<std::string, Record> records_;
    std::map<std::string, StoreLeaseId> leaseOf_;
    std::map<StoreLeaseId, std::pair<Milliseconds, Milliseconds>> leases_; // expiry time and duration
    std::vector<Change> history_;
    std::list<Watcher> watchers_;
    Revision revision_ { 0 };
    Revision historyStart_ { 0 };
    StoreLeaseId lastLease_ = 0;
};

// The direction of an instance's link in which the store's responses arrive. Transfers that overlap share its
// bandwidth.
class SimLink {
public:
    explicit SimLink(SimWorld& world)
        : world_(world)
    {
    }

    double bytesPerMillisecond = 0; // 0 if the link is never a limit
    double bytesCarried = 0;

    using TransferId = std::uint64_t;

    TransferId transfer(std::size_t bytes, std::function<void()> arrived);
    void abandon(TransferId id) { transfers_.erase(id); }

private:
    struct Transfer {
        double bytesLeft = 0;
        std::function<void()> arrived;
    };

    void advance();

    SimWorld& world_;
    std::map<TransferId, Transfer> transfers_;
    TransferId lastId_ = 0;
    bool advancing_ = false;
};

// An instance's client of the simulated store.
class SimStoreClient final : public RecordStore {
public:
    SimStoreClient(SimWorld& world, SimStore& store)
        : link(world)
        , world_(world)
        , store_(store)
    {
    }

    bool disconnected = false; // calls are lost and time out
    bool killed = false; // the instance was killed; nothing is sent or delivered any more
    Milliseconds pausedUntil { 0 }; // nothing is delivered before
    Milliseconds distance { 0 }; // added to the store's latency in each direction
    SimLink link;
    std::map<std::string, int> lists; // number of list() calls by prefix
    int calls = 0; // number of calls other than watches

    std::size_t maximumValueBytes() const override { return store_.valueBytes; }
    void commit(const Batch&, Milliseconds timeout, StoreHandler) override;
    void read(const std::string& key, Milliseconds timeout, StoreHandler) override;
    void list(const std::string& prefix, Milliseconds timeout, StoreHandler) override;
    void watch(const std::string& prefix, Revision after, Milliseconds wait, StoreHandler) override;
    void grantLease(Milliseconds ttl, Milliseconds timeout, StoreHandler) override;
    void keepLease(StoreLeaseId, Milliseconds timeout, StoreHandler) override;
    void endLease(StoreLeaseId, Milliseconds timeout, StoreHandler) override;

private:
    enum class CallKind { Write, Precondition, Other };

    Milliseconds latency() const { return store_.oneWayLatency + distance; }
    void call(Milliseconds timeout, const StoreHandler&, const std::function<StoreResponse()>& operation, CallKind);
    void respondLater(Milliseconds delay, const StoreHandler&, const StoreResponse&);

    // Delivers the response over the link. It makes progress all the time, so that the call fails only if the response
    // has not arrived by the deadline, if there is one.
    void deliver(std::optional<Milliseconds> deadline, const StoreHandler&, const StoreResponse&);

    SimWorld& world_;
    SimStore& store_;
};

} // namespace rosemarylink::jobs
