#include "Soak.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <sstream>

namespace rosemarylink::soak {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds worldStep { 2 };
    constexpr Milliseconds processCheck { 20 };
    constexpr Milliseconds callerDeadline { 3000 };
    constexpr int mostTries = 6;

    // A cancelled job's tasks start no more after the platform's bound of 3 s and an order that is carried out late.
    constexpr Milliseconds cancelBound { 3000 };

    // All accepted jobs end within this time after the last fault: recovery (12 s), the longest delay of an order
    // (4 s) with a worker's lease (6 s), and the work that is left.
    constexpr Milliseconds settleTime { 60000 };

    // A state may be shown this much later than the acceptance.
    constexpr Milliseconds visibleAfter { 3000 };

    int statusOf(const Result<reactor::ClientResponse>& reply) { return reply ? reply.value().status : 0; }

} // namespace

Soak::Soak(const SoakOptions& options)
    : options_(options)
    , faultRandom_(options.seed)
    , loadRandom_(options.seed + 1)
    , random_(options.seed + 2)
    , loop_(clock_)
    , callers_(loop_)
    , store_(world_)
    , storeClient_(world_, store_)
    , fleet_(world_, store_, {})
{
    store_.random.seed(static_cast<std::uint32_t>(options.seed));
    fleet_.random.seed(static_cast<std::uint32_t>(options.seed + 1));
    storeServer_ = serveStore(loop_, storeClient_);
    putConfiguration();
    for (int number = 0; number < options.workers; ++number) {
        const WorkerId id("w" + std::to_string(number));
        fleet_.add(id, "r1-" + std::to_string(number / 4), { 32000, 64000, 8 });
        Member& member = workers_[id];
        member.client = std::make_unique<jobs::SimWorkerClient>(world_, fleet_);
        member.server = serveWorker(loop_, *member.client, fleet_.entry(id));
        member.proxy = std::make_unique<Proxy>(loop_, member.server->address());
        publish(id);
    }
    for (int number = 0; number < options.instances; ++number) {
        storeLinks_.push_back(std::make_unique<Proxy>(loop_, storeServer_->address()));
        instances_.push_back(
            std::make_unique<EdgeInstance>(options.binary, options.directory, number, storeLinks_.back()->address()));
    }
}

Soak::~Soak() = default;

void Soak::violate(const std::string& text)
{
    violations_.push_back(std::to_string((now() - startedAt_).count()) + " ms: " + text);
}

void Soak::putConfiguration()
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

void Soak::publish(const WorkerId& id)
{
    store_.put("servers/" + id.value(), platformEntry(fleet_.entry(id), workers_.at(id).proxy->address()));
}

// The stand-ins live in simulated time, which follows real time here.
void Soak::advanceWorld()
{
    const Milliseconds time = now();
    world_.run(time - worldAt_);
    worldAt_ = time;
    later(worldStep, [this] { advanceWorld(); });
}

void Soak::watchProcesses()
{
    for (const auto& instance : instances_) {
        if (instance->hasFailed())
            violate(instance->name() + " ended by itself");
        if (!instance->running() && restarting_.count(instance.get()) == 0)
            restartLater(*instance, between(random_, 100, 1000));
    }
    later(processCheck, [this] { watchProcesses(); });
}

void Soak::restartLater(EdgeInstance& instance, Milliseconds delay)
{
    restarting_.insert(&instance);
    later(delay, [this, &instance] {
        restarting_.erase(&instance);
        if (!instance.running())
            instance.start();
    });
}

std::vector<std::string> Soak::run()
{
    startedAt_ = now();
    worldAt_ = now();
    advanceWorld();
    for (const auto& instance : instances_)
        instance->start();
    watchProcesses();
    later(Milliseconds(1000), [this] { submitNext(); });
    later(Milliseconds(1500), [this] { queryNext(); });
    later(Milliseconds(2000), [this] { injectNext(); });
    later(Milliseconds(2000) + options_.faults, [this] { endFaults(); });
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
    if (faultsOver_)
        return;
    std::ostringstream name;
    name << std::hex << loadRandom_();
    jobs::JobSpec spec = jobs::oneStep(1 + pick(loadRandom_, 4), std::int64_t(1) << pick(loadRandom_, 4),
        between(loadRandom_, 200, 2500), pick(loadRandom_, 2) == 0);
    spec.steps[0].checkpointing = pick(loadRandom_, 2) == 0;
    spec.payload = "work";
    const std::string id = name.str();
    CallerJob& job = jobs_[id];
    const int queue = pick(loadRandom_, 10);
    job.queue = queue < 3 ? "urgent" : queue < 7 ? "batch" : "sweep";
    job.body = platformJob(spec);
    spec.id = JobId(id);
    fleet_.registerJob(spec);
    submit(id);
    if (pick(loadRandom_, 8) == 0)
        later(between(loadRandom_, 200, 3000), [this, id] { cancel(id); });
    later(between(loadRandom_, 20, 200), [this] { submitNext(); });
}

void Soak::submit(const std::string& id)
{
    CallerJob& job = jobs_.at(id);
    ++job.tries;
    const auto& instance = instances_[static_cast<std::size_t>(pick(random_, options_.instances))];
    callers_.send(instance->callerAddress(), request("POST", "/" + job.queue + "/" + id, job.body),
        [this, id](const Result<reactor::ClientResponse>& reply) { takeSubmission(id, reply); });
}

void Soak::takeSubmission(const std::string& id, const Result<reactor::ClientResponse>& reply)
{
    CallerJob& job = jobs_.at(id);
    const int status = statusOf(reply);
    if (status == 200) {
        job.accepted = true;
        job.over = true;
        job.acceptedAt = now();
        return;
    }
    // A refusal is certain; so is a connection that was not made.
    if (status == 504 || (!reply && reply.error().verdict != Verdict::NotRun))
        job.mayHaveRun = true;
    else if (status != 503 && status != 429 && reply)
        violate("job " + id + " was answered " + std::to_string(status));
    if (job.tries >= mostTries || faultsOver_)
        job.over = true;
    else
        later(between(random_, 100, 500), [this, id] { submit(id); });
}

void Soak::cancel(const std::string& id)
{
    CallerJob& job = jobs_.at(id);
    if (!job.accepted || faultsOver_)
        return;
    job.cancelSent = true;
    const auto& instance = instances_[static_cast<std::size_t>(pick(random_, options_.instances))];
    callers_.send(instance->callerAddress(), request("DELETE", "/" + job.queue + "/" + id, ""),
        [this, id](const Result<reactor::ClientResponse>& reply) {
            const int status = statusOf(reply);
            if (status != 200 && status != 410) {
                later(Milliseconds(300), [this, id] { cancel(id); });
                return;
            }
            if (status == 410)
                return; // it had ended
            jobs_.at(id).cancelledAt = now();
            later(cancelBound, [this, id] { jobs_.at(id).startsAtCancel = fleet_.startsOf(JobId(id)); });
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
        query(accepted[static_cast<std::size_t>(pick(random_, static_cast<int>(accepted.size())))]);
    if (!faultsOver_)
        later(Milliseconds(50), [this] { queryNext(); });
}

void Soak::query(const std::string& id)
{
    const auto& instance = instances_[static_cast<std::size_t>(pick(random_, options_.instances))];
    callers_.send(instance->callerAddress(), request("GET", "/" + jobs_.at(id).queue + "/" + id, ""),
        [this, id](const Result<reactor::ClientResponse>& reply) { takeState(id, reply); });
}

void Soak::takeState(const std::string& id, const Result<reactor::ClientResponse>& reply)
{
    CallerJob& job = jobs_.at(id);
    const int status = statusOf(reply);
    if (status == 410 && now() - job.acceptedAt > visibleAfter)
        violate("accepted job " + id + " is not known");
    if (status != 200)
        return;
    const Json body = Json::parse(reply.value().body, nullptr, /*allow_exceptions=*/false);
    if (!body.is_object() || !body.contains("State")) {
        violate("the state of job " + id + " is unreadable: " + reply.value().body.substr(0, 80));
        return;
    }
    job.state = body["State"].get<std::string>();
    if (job.state == "failed" || (job.state == "cancelled" && !job.cancelSent))
        violate("job " + id + " is shown as " + job.state + " without cause");
}

void Soak::endFaults()
{
    faultsOver_ = true;
    for (const auto& link : storeLinks_)
        link->setFault({});
    for (const auto& [id, member] : workers_) {
        member.proxy->setFault({});
        if (!fleet_.isUp(id)) {
            fleet_.restart(id);
            publish(id);
        }
    }
    store_.mode = jobs::SimStore::Mode::Up;
    store_.lostResponseShare = 0;
    fleet_.delayedCommandShare = 0;
    for (const auto& instance : instances_)
        instance->signal(SIGCONT);
    settledBy_ = now() + settleTime;
    // Submissions and cancellations that are on their way end first.
    later(callerDeadline + cancelBound, [this] { pollUntilDone(); });
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
    if (done || now() >= settledBy_)
        loop_.stop();
    else
        later(Milliseconds(500), [this] { pollUntilDone(); });
}

void Soak::checkAtEnd()
{
    for (const std::string& text : fleet_.violations())
        violate(text);
    for (const auto& [id, job] : jobs_) {
        const int starts = fleet_.startsOf(JobId(id));
        if (job.accepted && job.state != "completed" && job.state != "cancelled")
            violate("accepted job " + id + " has not ended; it is shown as \"" + job.state + "\" and has "
                + std::to_string(starts) + " starts");
        if (!job.accepted && job.over && !job.mayHaveRun && starts > 0)
            violate("job " + id + " was refused in every try and has started");
        if (job.startsAtCancel >= 0 && starts > job.startsAtCancel)
            violate("cancelled job " + id + " started " + std::to_string(starts - job.startsAtCancel)
                + " tasks after the bound");
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
    for (const auto& [name, count] : injected_)
        out << " " << name << "=" << count;
    return out.str();
}

} // namespace rosemarylink::soak
