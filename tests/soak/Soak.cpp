#include "Soak.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <sstream>

namespace rosemarylink::soak {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds simulationStep { 2 };
    constexpr Milliseconds processCheckInterval { 20 };
    constexpr Milliseconds callerDeadline { 3000 };
    constexpr int maximumAttempts = 6;

    // The time after the answer to a cancellation in which tasks of the job may still start: the platform's bound of 3
    // s. It also covers orders that are carried out late.
    constexpr Milliseconds cancelBound { 3000 };

    // The time after the last fault in which all accepted jobs must end: recovery (12 s), the longest delay of an order
    // (4 s), a worker's lease (6 s) and the remaining work.
    constexpr Milliseconds settleTime { 60000 };

    // The longest time from the acceptance of a job until every instance can return its state.
    constexpr Milliseconds visibilityDelay { 3000 };

    jobs::SimFleet::Options fleetOptions(const SoakOptions& soak)
    {
        jobs::SimFleet::Options options;
        options.longestLease = soak.workerLease;
        return options;
    }

    // Prefix of the keys under which workers are registered.
    const std::string registrations = "servers/";

    // Stands in the store for the address of a worker, which is another one for each instance.
    const std::string pathPlaceholder = "path-to-worker";

    int statusOf(const Result<reactor::ClientResponse>& reply) { return reply ? reply.value().status : 0; }

} // namespace

Soak::Soak(const SoakOptions& options)
    : options_(options)
    , faultRandom_(options.seed)
    , loadRandom_(options.seed + 1)
    , cutRandom_(options.seed + 3)
    , cutFaults_ { { "ownership", &Soak::injectOwnershipFault, 2, Random(options.seed + 4) },
        { "rebirths", &Soak::injectRebirths, 1, Random(options.seed + 5) },
        { "slices", &Soak::injectLittleProcessorTime, 2, Random(options.seed + 6) },
        { "paused-workers", &Soak::pauseWorkers, 2, Random(options.seed + 7) },
        { "late-delivery", &Soak::suspendLinks, 1, Random(options.seed + 8) },
        { "unsaved-ends", &Soak::loseOwnershipWithUnsavedEnds, 1, Random(options.seed + 9) },
        { "split", &Soak::splitFleet, 1, Random(options.seed + 10) } }
    , random_(options.seed + 2)
    , loop_(clock_)
    , callers_(loop_)
    , store_(world_)
    , storeClient_(world_, store_)
    , fleet_(world_, store_, fleetOptions(options))
{
    store_.random.seed(static_cast<std::uint32_t>(options.seed));
    fleet_.random.seed(static_cast<std::uint32_t>(options.seed + 1));
    storeConfiguration();
    for (int number = 0; number < options.workers; ++number) {
        const WorkerId id("w" + std::to_string(number));
        fleet_.add(id, "r1-" + std::to_string(number / 4), { 32000, 64000, 8 });
        SimulatedWorker& member = workers_[id];
        member.client = std::make_unique<jobs::SimWorkerClient>(world_, fleet_);
        member.server = serveWorker(loop_, *member.client, fleet_.entry(id));
        member.proxy = std::make_unique<ProxyGroup>(loop_, member.server->address(), options.instances);
        publishWorker(id);
    }
    for (int number = 0; number < options.instances; ++number) {
        const auto instance = static_cast<std::size_t>(number);
        storeServers_.push_back(serveStore(loop_, storeClient_, writeFault_,
            [this, instance](const jobs::Record& record) { return valueFor(instance, record); }));
        storeProxies_.push_back(std::make_unique<Proxy>(loop_, storeServers_.back()->address()));
        instances_.push_back(std::make_unique<EdgeInstance>(
            options.binary, options.directory, number, storeProxies_.back()->address(), options.workerLease));
    }
}

Soak::~Soak() = default;

void Soak::addViolation(const std::string& text)
{
    violations_.push_back(std::to_string((now() - startedAt_).count()) + " ms: " + text);
}

void Soak::storeConfiguration()
{
    Json routes = Json::array();
    int priority = 0;
    for (const char* const queue : { "urgent", "batch", "sweep" }) {
        routes.push_back({ { "Name", queue }, { "Host", "host" }, { "Prefix", std::string("/") + queue + "/" },
            { "Service", "pool" }, { "Priority", priority++ }, { "MaxAttempts", 5 }, { "StretchFactor", 2.0 },
            { "TargetLatencyMs", 1000 } });
    }
    const Json configuration
        = { { "Version", ++version_ }, { "Routes", routes }, { "Services", { { { "Name", "pool" } } } },
              { "Tenants", { { { "Name", "acme" }, { "ApiKeys", { "key" } }, { "Guaranteed", { { "Gpu", 16 } } } } } },
              { "Limits", Json::object() } };
    store_.put("op/config", configuration.dump());
}

void Soak::publishWorker(const WorkerId& id)
{
    store_.put(registrations + id.value(), platformEntry(fleet_.entry(id), pathPlaceholder));
}

// Each instance reads the address of its own path to a worker.
std::string Soak::valueFor(std::size_t instance, const jobs::Record& record)
{
    const std::size_t position = record.value.find(pathPlaceholder);
    if (record.key.compare(0, registrations.size(), registrations) != 0 || position == std::string::npos)
        return record.value;
    const WorkerId id(record.key.substr(registrations.size()));
    std::string value = record.value;
    return value.replace(position, pathPlaceholder.size(), workers_.at(id).proxy->path(instance).address());
}

// Advances the simulated time of the platform to real time.
void Soak::advanceSimulation()
{
    schedule(simulationStep, [this] { advanceSimulation(); });
    const Milliseconds time = now();
    try {
        world_.run(time - simulatedUntil_);
    } catch (const std::exception& problem) {
        addViolation(std::string("the simulation threw an exception: ") + problem.what());
    }
    simulatedUntil_ = time;
}

void Soak::checkProcesses()
{
    for (const auto& instance : instances_) {
        if (instance->hasExitedUnexpectedly())
            addViolation(instance->name() + " exited unexpectedly");
        if (!instance->running() && restarting_.count(instance.get()) == 0)
            scheduleRestart(*instance, randomDuration(random_, 100, 1000));
    }
    schedule(processCheckInterval, [this] { checkProcesses(); });
}

void Soak::scheduleRestart(EdgeInstance& instance, Milliseconds delay)
{
    restarting_.insert(&instance);
    schedule(delay, [this, &instance] {
        restarting_.erase(&instance);
        if (!instance.running())
            instance.start();
    });
}

std::vector<std::string> Soak::run()
{
    startedAt_ = now();
    simulatedUntil_ = now();
    advanceSimulation();
    for (const auto& instance : instances_)
        instance->start();
    checkProcesses();
    schedule(Milliseconds(1000), [this] { submitNext(); });
    schedule(Milliseconds(1500), [this] { queryNext(); });
    if (!options_.cutsOnly)
        schedule(Milliseconds(2000), [this] { injectNext(); });
    schedule(Milliseconds(2500), [this] { cutOffNext(); });
    schedule(Milliseconds(2500), [this] { delayAnswersNext(); });
    schedule(Milliseconds(1200), [this] { submitLongNext(); });
    schedule(Milliseconds(2000) + options_.faults, [this] { endFaults(); });
    loop_.run([] {});
    checkAtEnd();
    return violations_;
}

reactor::ClientRequest Soak::request(
    const std::string& method, const std::string& target, const std::string& body) const
{
    return { method, target,
        { { "Host", "host" }, { "Authorization", "Token key" },
            { "X-Deadline-Ms", std::to_string(callerDeadline.count()) } },
        body, callerDeadline };
}

void Soak::submitNext()
{
    if (faultInjectionEnded_)
        return;
    std::ostringstream name;
    name << std::hex << loadRandom_();
    jobs::JobSpec spec = jobs::oneStep(1 + randomIndex(loadRandom_, 4), std::int64_t(1) << randomIndex(loadRandom_, 4),
        randomDuration(loadRandom_, 200, 2500), randomIndex(loadRandom_, 2) == 0);
    spec.steps[0].checkpointing = randomIndex(loadRandom_, 2) == 0;
    spec.payload = "work";
    const std::string id = name.str();
    const int queue = randomIndex(loadRandom_, 10);
    add(id, queue < 3 ? "urgent" : queue < 7 ? "batch" : "sweep", spec);
    if (randomIndex(loadRandom_, 8) == 0)
        schedule(randomDuration(loadRandom_, 200, 3000), [this, id] { cancel(id); });
    schedule(randomDuration(loadRandom_, 20, 200), [this] { submitNext(); });
}

void Soak::add(const std::string& id, const std::string& queue, jobs::JobSpec spec)
{
    CallerJob& job = jobs_[id];
    job.queue = queue;
    job.body = platformJob(spec);
    spec.id = JobId(id);
    fleet_.registerJob(spec);
    submit(id);
}

// Submits work that is longer than a lease, so that it is still there after a cut.
void Soak::submitLongNext()
{
    if (faultInjectionEnded_)
        return;
    std::ostringstream name;
    name << std::hex << cutRandom_();
    jobs::JobSpec spec
        = jobs::oneStep(1 + options_.workers / 4, 1, randomDuration(cutRandom_, 3000, 9000), /*gang=*/false);
    spec.payload = "work";
    add(name.str(), "batch", spec);
    schedule(randomDuration(cutRandom_, 500, 1500), [this] { submitLongNext(); });
}

void Soak::submit(const std::string& id)
{
    CallerJob& job = jobs_.at(id);
    ++job.attempts;
    const auto& instance = instances_[static_cast<std::size_t>(randomIndex(random_, options_.instances))];
    callers_.send(instance->callerAddress(), request("POST", "/" + job.queue + "/" + id, job.body),
        [this, id](const Result<reactor::ClientResponse>& reply) { handleSubmissionReply(id, reply); });
}

void Soak::handleSubmissionReply(const std::string& id, const Result<reactor::ClientResponse>& reply)
{
    CallerJob& job = jobs_.at(id);
    const int status = statusOf(reply);
    if (status == 200) {
        job.accepted = true;
        job.submissionEnded = true;
        job.acceptedAt = now();
        return;
    }
    // A refusal or a failed connection proves that the job was not accepted.
    if (status == 504 || (!reply && reply.error().verdict != Verdict::NotRun))
        job.mayHaveRun = true;
    else if (status != 503 && status != 429 && reply)
        addViolation("job " + id + " got the unexpected status " + std::to_string(status));
    if (job.attempts >= maximumAttempts || faultInjectionEnded_)
        job.submissionEnded = true;
    else
        schedule(randomDuration(random_, 100, 500), [this, id] { submit(id); });
}

void Soak::cancel(const std::string& id)
{
    CallerJob& job = jobs_.at(id);
    if (!job.accepted || faultInjectionEnded_)
        return;
    job.cancelSent = true;
    const auto& instance = instances_[static_cast<std::size_t>(randomIndex(random_, options_.instances))];
    callers_.send(instance->callerAddress(), request("DELETE", "/" + job.queue + "/" + id, ""),
        [this, id](const Result<reactor::ClientResponse>& reply) {
            const int status = statusOf(reply);
            if (status != 200 && status != 410) {
                schedule(Milliseconds(300), [this, id] { cancel(id); });
                return;
            }
            if (status == 410)
                return; // the job had already ended
            jobs_.at(id).cancelledAt = now();
            schedule(cancelBound, [this, id] { jobs_.at(id).startsAtCancelBound = fleet_.startsOf(JobId(id)); });
        });
}

void Soak::queryNext()
{
    std::vector<std::string> accepted;
    for (const auto& [id, job] : jobs_) {
        if (job.accepted)
            accepted.push_back(id);
    }
    if (!accepted.empty())
        query(accepted[static_cast<std::size_t>(randomIndex(random_, static_cast<int>(accepted.size())))]);
    if (!faultInjectionEnded_)
        schedule(Milliseconds(50), [this] { queryNext(); });
}

void Soak::query(const std::string& id)
{
    const auto& instance = instances_[static_cast<std::size_t>(randomIndex(random_, options_.instances))];
    callers_.send(instance->callerAddress(), request("GET", "/" + jobs_.at(id).queue + "/" + id, ""),
        [this, id](const Result<reactor::ClientResponse>& reply) { handleStateReply(id, reply); });
}

void Soak::handleStateReply(const std::string& id, const Result<reactor::ClientResponse>& reply)
{
    CallerJob& job = jobs_.at(id);
    const int status = statusOf(reply);
    if (status == 410 && now() - job.acceptedAt > visibilityDelay)
        addViolation("accepted job " + id + " is unknown to an instance");
    if (status != 200)
        return;
    const Json body = Json::parse(reply.value().body, nullptr, /*allow_exceptions=*/false);
    if (!body.is_object() || !body.contains("State")) {
        addViolation("the state of job " + id + " is unreadable: " + reply.value().body.substr(0, 80));
        return;
    }
    job.state = body["State"].get<std::string>();
    if (job.state == "failed" || (job.state == "cancelled" && !job.cancelSent))
        addViolation("job " + id + " is shown as " + job.state + " without a cancellation or a failure");
}

void Soak::endFaults()
{
    faultInjectionEnded_ = true;
    for (const auto& link : storeProxies_)
        link->setFault({});
    for (const auto& [id, member] : workers_) {
        member.proxy->setFault({});
        member.proxy->setOpen(true);
        member.proxy->setSuspended(false);
        if (!fleet_.isUp(id))
            fleet_.restart(id);
        publishWorker(id);
    }
    store_.mode = jobs::SimStore::Mode::Up;
    store_.lostResponseShare = 0;
    writeFault_ = {};
    fleet_.delayedCommandShare = 0;
    for (const auto& instance : instances_)
        instance->sendSignal(SIGCONT);
    settleDeadline_ = now() + settleTime;
    // Wait for the submissions and cancellations in progress.
    schedule(callerDeadline + cancelBound, [this] { pollUntilDone(); });
}

void Soak::pollUntilDone()
{
    bool done = true;
    for (const auto& [id, job] : jobs_) {
        if (!job.accepted || job.state == "completed" || job.state == "cancelled")
            continue;
        done = false;
        query(id);
    }
    if (done || now() >= settleDeadline_)
        loop_.stop();
    else
        schedule(Milliseconds(500), [this] { pollUntilDone(); });
}

void Soak::checkAtEnd()
{
    for (const std::string& text : fleet_.violations())
        addViolation(text);
    for (const auto& [id, job] : jobs_) {
        const int starts = fleet_.startsOf(JobId(id));
        if (job.accepted && job.state != "completed" && job.state != "cancelled")
            addViolation("accepted job " + id + " has not ended; its last state is \"" + job.state + "\" and has "
                + std::to_string(starts) + " starts");
        if (!job.accepted && job.submissionEnded && !job.mayHaveRun && starts > 0)
            addViolation("job " + id + " was refused in every attempt but has started");
        if (job.startsAtCancelBound >= 0 && starts > job.startsAtCancelBound)
            addViolation("cancelled job " + id + " started " + std::to_string(starts - job.startsAtCancelBound)
                + " tasks after the cancellation bound");
    }
}

std::string Soak::summary() const
{
    int accepted = 0;
    int completed = 0;
    for (const auto& [id, job] : jobs_) {
        accepted += job.accepted ? 1 : 0;
        completed += job.state == "completed" ? 1 : 0;
    }
    std::ostringstream out;
    out << "jobs=" << jobs_.size() << " accepted=" << accepted << " completed=" << completed;
    for (const auto& [name, count] : faultCounts_)
        out << " " << name << "=" << count;
    return out.str();
}

} // namespace rosemarylink::soak
