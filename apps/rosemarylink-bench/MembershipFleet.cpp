#include "MembershipFleet.h"

#include <algorithm>
#include <thread>

namespace rosemarylink::bench {

void MembershipStore::setDown(bool down)
{
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
}

Status MembershipStore::checkAvailable() const
{
    if (down_)
        return unavailable("the store is down", Verdict::NotRun);
    return okStatus();
}

Result<std::optional<state::StoredValue>> MembershipStore::read(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    BOOST_OUTCOME_TRYV(checkAvailable());
    const auto position = values_.find(key);
    if (position == values_.end())
        return std::optional<state::StoredValue>();
    return std::make_optional(position->second);
}

Result<std::vector<state::KeyedValue>> MembershipStore::list(const std::string& prefix)
{
    const std::lock_guard lock(mutex_);
    BOOST_OUTCOME_TRYV(checkAvailable());
    std::vector<state::KeyedValue> result;
    for (const auto& [key, value] : values_) {
        if (key.compare(0, prefix.size(), prefix) == 0)
            result.push_back({ key, value });
    }
    return result;
}

Result<Revision> MembershipStore::compareAndSwap(
    const std::string& key, Revision expected, const std::string& bytes, const std::optional<LeaseId>&)
{
    const std::lock_guard lock(mutex_);
    BOOST_OUTCOME_TRYV(checkAvailable());
    const auto position = values_.find(key);
    if ((position == values_.end() ? Revision(0) : position->second.revision) != expected)
        return makeError(ErrorCode::Conflict, key + " has changed");
    const Revision revision(++revision_);
    values_[key] = { bytes, revision };
    changed_.notify_all();
    return revision;
}

Status MembershipStore::remove(const std::string& key, Revision)
{
    const std::lock_guard lock(mutex_);
    BOOST_OUTCOME_TRYV(checkAvailable());
    values_.erase(key);
    return okStatus();
}

Result<LeaseId> MembershipStore::grantLease(Milliseconds)
{
    const std::lock_guard lock(mutex_);
    BOOST_OUTCOME_TRYV(checkAvailable());
    return LeaseId("lease");
}

Status MembershipStore::renewLease(const LeaseId&)
{
    const std::lock_guard lock(mutex_);
    return checkAvailable();
}

Status MembershipStore::revokeLease(const LeaseId&) { return okStatus(); }

std::vector<state::WatchEvent> MembershipStore::changes(const std::string& prefix, Revision after) const
{
    std::vector<state::WatchEvent> events;
    for (const auto& [key, value] : values_) {
        if (key.compare(0, prefix.size(), prefix) == 0 && value.revision > after)
            events.push_back({ key, value.revision, value.bytes });
    }
    return events;
}

Result<std::vector<state::WatchEvent>> MembershipStore::watch(
    const std::string& prefix, Revision after, Milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, timeout, [&] { return down_ || !changes(prefix, after).empty(); });
    BOOST_OUTCOME_TRYV(checkAvailable());
    return changes(prefix, after);
}

MembershipFleet::MembershipFleet(int instances)
{
    for (int number = 0; number < instances; ++number)
        addInstance(number);
    for (const auto& instance : instances_)
        instance->service->start();
}

MembershipFleet::~MembershipFleet()
{
    // Ends pending watches at once; otherwise they would run until their timeout.
    store_.setDown(true);
    for (const auto& instance : instances_)
        instance->service->stop();
    std::vector<std::thread> stopping;
    for (const auto& instance : instances_)
        stopping.emplace_back([&instance] { instance->links->stop(); });
    for (std::thread& thread : stopping)
        thread.join();
}

void MembershipFleet::addInstance(int number)
{
    auto instance = std::make_unique<Instance>();
    transport::LinkOptions linkOptions;
    linkOptions.self = InstanceId("gateway-" + std::to_string(100 + number));
    linkOptions.callThreads = 1; // no calls are made between the instances
    instance->links = std::make_unique<transport::WebSocketLinks>(linkOptions);
    transport::MembershipServiceOptions options;
    options.self = linkOptions.self;
    instance->service
        = std::make_unique<transport::MembershipService>(options, *instance->links, store_, directory_, clock_);
    instance->service->registerHandlers();
    auto& agent = instance->service->agent();
    agent.setLoad([] { return state::InstanceLoad { { { CellId("amman-1"), Accelerators(312), 1234 } }, 400 }; });
    agent.config().setListener([this](const config::ConfigInForce&) {
        const std::lock_guard lock(mutex_);
        configChanged_.notify_all();
    });
    if (instance->links->start())
        listedInstances_.push_back({ linkOptions.self, linkOptions.host, instance->links->port(), RegionId("amman"),
            FailureDomainId("amman-1"), false });
    instances_.push_back(std::move(instance));
}

bool MembershipFleet::waitFor(Milliseconds limit, const std::function<bool()>& condition) const
{
    const Milliseconds begin = clock_.monotonic();
    while (!condition()) {
        if (clock_.monotonic() - begin > limit)
            return false;
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return true;
}

bool MembershipFleet::waitUntilConnected(Milliseconds limit)
{
    return waitFor(limit, [this] {
        return std::all_of(instances_.begin(), instances_.end(), [this](const auto& instance) {
            const auto members = instance->service->agent().membership().members();
            return members.size() + 1 == instances_.size()
                && std::all_of(members.begin(), members.end(),
                    [](const state::Member& member) { return member.heartbeat.has_value() && member.live(); });
        });
    });
}

bool MembershipFleet::waitUntilInForce(ConfigVersion version, Milliseconds limit)
{
    std::unique_lock lock(mutex_);
    return configChanged_.wait_for(lock, limit, [&] {
        return std::all_of(instances_.begin(), instances_.end(),
            [&](const auto& instance) { return instance->service->agent().config().version() >= version; });
    });
}

std::int64_t MembershipFleet::bytesTransferred() const
{
    std::int64_t bytes = 0;
    for (const auto& instance : instances_)
        bytes += instance->links->bytesTransferred();
    return bytes;
}

} // namespace rosemarylink::bench
