#include "rosemarylink/transport/MembershipService.h"

#include "rosemarylink/transport/WebSocketLinks.h"
#include "state/ConfigFakes.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <mutex>
#include <thread>

namespace rosemarylink::transport {
namespace {

    using namespace state::fakes;

    // An in-memory store that the threads of several services may use.
    class LockedStore final : public state::KeyValueStore {
    public:
        Result<std::optional<state::StoredValue>> read(const std::string& key) override
        {
            const std::lock_guard lock(mutex_);
            return client_.read(key);
        }
        Result<std::vector<state::KeyedValue>> list(const std::string& prefix) override
        {
            const std::lock_guard lock(mutex_);
            return client_.list(prefix);
        }
        Result<Revision> compareAndSwap(const std::string& key, Revision expected, const std::string& bytes,
            const std::optional<LeaseId>& lease) override
        {
            const std::lock_guard lock(mutex_);
            return client_.compareAndSwap(key, expected, bytes, lease);
        }
        Status remove(const std::string& key, Revision expected) override
        {
            const std::lock_guard lock(mutex_);
            return client_.remove(key, expected);
        }
        Result<LeaseId> grantLease(Milliseconds ttl) override
        {
            const std::lock_guard lock(mutex_);
            return client_.grantLease(ttl);
        }
        Status renewLease(const LeaseId& lease) override
        {
            const std::lock_guard lock(mutex_);
            return client_.renewLease(lease);
        }
        Status revokeLease(const LeaseId& lease) override
        {
            const std::lock_guard lock(mutex_);
            return client_.revokeLease(lease);
        }
        Result<std::vector<state::WatchEvent>> watch(
            const std::string& prefix, Revision after, Milliseconds timeout) override
        {
            const std::lock_guard lock(mutex_);
            return client_.watch(prefix, after, timeout);
        }

    private:
        std::mutex mutex_;
        ManualClock clock_;
        FakeStoreBackend backend_ { clock_ };
        FakeStoreClient client_ { backend_ };
    };

    struct FixedDirectory final : state::InstanceDirectory {
        std::vector<state::ListedInstance> instances;
        Result<std::vector<state::ListedInstance>> list() override { return instances; }
    };

    struct Process {
        Process(const std::string& name, LockedStore& store, FixedDirectory& directory)
            : links(linkOptions(name))
            , service(serviceOptions(name), links, store, directory, clock)
        {
            service.registerHandlers();
            REQUIRE(links.start());
            directory.instances.push_back(
                { InstanceId(name), "127.0.0.1", links.port(), RegionId("amman"), FailureDomainId("amman-1"), false });
        }

        static LinkOptions linkOptions(const std::string& name)
        {
            LinkOptions options;
            options.self = InstanceId(name);
            return options;
        }

        static MembershipServiceOptions serviceOptions(const std::string& name)
        {
            MembershipServiceOptions options;
            options.self = InstanceId(name);
            options.heartbeatInterval = Milliseconds(50);
            options.listInterval = Milliseconds(50);
            return options;
        }

        SystemClock clock;
        WebSocketLinks links;
        MembershipService service;
    };

    bool eventually(const std::function<bool()>& condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::yield();
        }
        return true;
    }

    TEST_CASE("processes with real links discover each other and put a version into force everywhere")
    {
        LockedStore store;
        FixedDirectory directory;
        Process first("first", store, directory);
        Process second("second", store, directory);
        Process third("third", store, directory);
        const std::vector<Process*> processes { &first, &second, &third };
        for (Process* process : processes)
            process->service.start();
        const auto accepted = second.service.propose(makeProposal(ConfigVersion(0), 1));
        REQUIRE(accepted);
        for (Process* process : processes) {
            CHECK(eventually([&] { return process->service.agent().coverage(ConfigVersion(1)).everywhere; }));
            CHECK(eventually([&] { return process->service.agent().upToDate(); }));
        }
        CHECK(first.service.auditLog().read({}).value().size() == 1);

        // A leaving instance notifies its peers immediately. Messages that arrive after its service has stopped are
        // ignored.
        third.service.agent().setState(messages::InstanceState::Leaving);
        CHECK(eventually([&] {
            const auto member = first.service.agent().membership().member(InstanceId("third"));
            return member && member->state == messages::InstanceState::Leaving;
        }));
        third.service.stop();
        REQUIRE(first.service.propose(makeProposal(ConfigVersion(1), 2)));
        CHECK(eventually([&] { return second.service.agent().config().version() == ConfigVersion(2); }));
        for (Process* process : processes)
            process->service.stop();
    }

} // namespace
} // namespace rosemarylink::transport
