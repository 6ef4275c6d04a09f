#include "SimCluster.h"

namespace rosemarylink::jobs {

namespace {

    const PoolLimits simLimits { Milliseconds(6000), Milliseconds(3000), Milliseconds(400), Milliseconds(3000),
        Milliseconds(240000) };

} // namespace

Result<Configuration> SimCatalog::parseConfiguration(const Record& record) const
{
    const nlohmann::json json = nlohmann::json::parse(record.value);
    Configuration configuration;
    configuration.version = json.at("version").get<std::int64_t>();
    if (guardsCapacity)
        configuration.guardedPools = { ServiceId("pool") };
    int priority = 0;
    for (const std::string name : { "urgent", "batch", "sweep", "open" }) {
        Queue queue;
        queue.host = "host";
        queue.pathPrefix = "/" + name + "/";
        queue.needsKey = name != "open";
        queue.policy = { QueueId(name), ServiceId("pool"), priority++, 3, 1.5, Milliseconds(400) };
        const std::string only = json.at("only").get<std::string>();
        if (only.empty() || only == name)
            configuration.queues.push_back(queue);
    }
    configuration.accounts.push_back({ AccountId("acme"), { json.at("key").get<std::string>() }, 16 });
    configuration.accounts.push_back({ AccountId("beta"), { "key-of-beta" }, 8 });
    return configuration;
}

Result<WorkerEntry> SimCatalog::parseWorker(const Record& record) const
{
    if (record.key == throwsFor)
        throw std::runtime_error("injected fault");
    const nlohmann::json json = nlohmann::json::parse(record.value, nullptr, /*allow_exceptions=*/false);
    if (!json.is_object() || !json.contains("rack") || !json.contains("born"))
        return invalidArgument("the worker's registration is malformed");
    WorkerEntry entry;
    entry.id = WorkerId(record.key.substr(workerPrefix().size()));
    entry.address = json.value("address", entry.id.value());
    entry.pool = ServiceId("pool");
    entry.rack = json.at("rack").get<std::string>();
    entry.labels = { entry.rack };
    entry.failureDomain = FailureDomainId(entry.rack);
    entry.startTimeMs = json.at("born").get<std::int64_t>();
    entry.draining = json.at("draining").get<bool>();
    entry.capacity = { json.at("milliCores").get<std::int64_t>(), json.at("megabytes").get<std::int64_t>(),
        json.at("accelerators").get<std::int64_t>() };
    return entry;
}

Result<FailureDomainId> SimCatalog::parseEvacuation(const Record& record) const
{
    if (record.key == throwsFor)
        throw std::runtime_error("injected fault");
    const std::string name = record.key.substr(evacuationPrefix().size());
    if (name.empty())
        return invalidArgument("the key names no failure domain");
    return FailureDomainId(name);
}

SimInstance::SimInstance(
    SimWorld& world, SimStore& simStore, SimFleet& fleet, const std::string& name, const InstanceCapacity& capacity)
    : timers(world)
    , store(world, simStore)
    , workers(world, fleet)
    , hedgedStore(store, store, timers, world.clock(), registry)
    , faultyStore(hedgedStore)
    , faultyWorkers(workers, timers)
    , metrics(registry)
    , config(faultyStore, catalog, timers, world.clock())
    , ownership(faultyStore, timers, world.clock(), metrics, name, acquisitionDelayFor(capacity))
    , owner(faultyStore, faultyWorkers, catalog, config, ownership, timers, world.clock(), metrics, simLimits)
    , admission(faultyStore, config, catalog, timers, world.clock(), metrics)
{
    config.start();
    ownership.start(
        { [this](FencingToken token) { owner.begin(token); }, [this](const std::string&) { owner.end(); } });
}

void SimInstance::kill()
{
    timers.killed = true;
    store.killed = true;
    workers.killed = true;
}

void SimInstance::pause(Milliseconds duration)
{
    const Milliseconds until = timers.now() + duration;
    timers.pausedUntil = until;
    store.pausedUntil = until;
    workers.pausedUntil = until;
}

void SimInstance::shutDown()
{
    owner.flush([this] {
        owner.end();
        ownership.resign();
    });
}

SimCluster::SimCluster(int count, const SimFleet::Options& options)
    : store(world)
    , fleet(world, store, options)
{
    putConfiguration();
    for (int number = 0; number < count; ++number)
        addInstance();
}

SimInstance& SimCluster::addInstance(const InstanceCapacity& capacity)
{
    instances.push_back(std::make_unique<SimInstance>(world, store, fleet, "i" + std::to_string(++added_), capacity));
    if (evacuations_)
        enableEvacuations();
    return *instances.back();
}

Revision SimCluster::putConfiguration(const std::string& key, const std::string& onlyQueue)
{
    const nlohmann::json json = { { "version", ++version_ }, { "key", key }, { "only", onlyQueue },
        { "padding", std::string(configurationPadding, 'x') } };
    return store.put("config", json.dump());
}

void SimCluster::enableEvacuations()
{
    evacuations_ = true;
    PoolLimits limits = simLimits;
    limits.evacuationTimeout = Milliseconds(5000);
    for (const auto& instance : instances)
        instance->owner.setLimits(limits);
}

void SimCluster::evacuate(const std::string& rack, Milliseconds bound)
{
    store.put(SimCatalog().evacuationPrefix() + rack, "{}");
    fleet.startsForbiddenFrom[rack] = world.now() + bound;
}

void SimCluster::revokeEvacuation(const std::string& rack)
{
    store.remove(SimCatalog().evacuationPrefix() + rack);
    fleet.startsForbiddenFrom.erase(rack);
}

void SimCluster::addWorkers(int racks, int perRack)
{
    for (int rack = 0; rack < racks; ++rack) {
        for (int number = 0; number < perRack; ++number)
            fleet.add(WorkerId("w" + std::to_string(rack) + "-" + std::to_string(number)), "r" + std::to_string(rack),
                { 32000, 64000, 8 });
    }
}

namespace {

    AdmissionResponse await(SimWorld& world, const std::function<void(const AdmissionHandler&)>& call)
    {
        std::optional<AdmissionResponse> received;
        call([&received](const AdmissionResponse& response) { received = response; });
        for (int turn = 0; turn < 500 && !received; ++turn)
            world.run(Milliseconds(10));
        if (!received)
            throw std::runtime_error("no response to a caller's request within 5 s");
        return *received;
    }

    CallerRequest request(
        const std::string& queue, const std::string& id, Milliseconds deadline, const std::string& key = "key")
    {
        return { "host", "/" + queue + "/" + id, key, deadline };
    }

} // namespace

AdmissionResponse SimCluster::submit(const std::string& queue, const std::string& id, const JobSpec& job,
    std::size_t instance, Milliseconds deadline, const std::string& key)
{
    JobSpec named = job;
    named.id = JobId(id);
    fleet.registerJob(named);
    return await(world, [&](const AdmissionHandler& handler) {
        instances.at(instance)->admission.submit(
            request(queue, id, deadline, key), [job]() -> Result<JobSpec> { return job; }, handler);
    });
}

AdmissionResponse SimCluster::cancel(
    const std::string& queue, const std::string& id, std::size_t instance, const std::string& key)
{
    return await(world, [&](const AdmissionHandler& handler) {
        instances.at(instance)->admission.cancel(request(queue, id, Milliseconds(3000), key), handler);
    });
}

AdmissionResponse SimCluster::query(
    const std::string& queue, const std::string& id, std::size_t instance, const std::string& key)
{
    return await(world, [&](const AdmissionHandler& handler) {
        instances.at(instance)->admission.query(request(queue, id, Milliseconds(3000), key), handler);
    });
}

std::optional<JobState> SimCluster::storedState(const std::string& id) const
{
    const Record* const record = store.find(keys::progress(JobId(id)));
    return record ? parseProgressState(record->value) : std::nullopt;
}

SimInstance* SimCluster::currentOwner()
{
    for (const auto& instance : instances) {
        if (instance->ownership.valid() && !instance->timers.killed)
            return instance.get();
    }
    return nullptr;
}

JobSpec oneStep(int tasks, std::int64_t accelerators, Milliseconds estimate, bool gang)
{
    StepSpec step;
    step.taskCount = tasks;
    step.perTask = { 1000, 1000, accelerators };
    step.estimate = estimate;
    step.gang = gang;
    JobSpec job;
    job.steps = { step };
    return job;
}

} // namespace rosemarylink::jobs
