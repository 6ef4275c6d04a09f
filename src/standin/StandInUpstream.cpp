#include "rosemarylink/standin/StandInUpstream.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <unordered_map>

namespace rosemarylink::standin {

namespace {

    struct Upstream {
        int slots = 1;
        int busy = 0;
        int waiting = 0;
        Milliseconds serviceTime { 0 };
        UpstreamFaults faults;
        std::int64_t arrivals = 0;
        std::int64_t executions = 0;
        std::condition_variable slotFree;
        std::deque<std::pair<std::chrono::steady_clock::time_point, int>>
            history; // recent values of busy, for the report lag

        void setBusy(int count, Milliseconds lag)
        {
            busy = count;
            if (lag.count() == 0)
                return;
            const auto now = std::chrono::steady_clock::now();
            history.emplace_back(now, count);
            // Keep the newest entry that is at least as old as the lag, because it is the one to report.
            while (history.size() > 1 && history[1].first <= now - lag)
                history.pop_front();
        }

        int reportedBusy(Milliseconds lag) const
        {
            if (lag.count() == 0)
                return busy;
            const bool known = !history.empty() && history.front().first <= std::chrono::steady_clock::now() - lag;
            return known ? history.front().second : 0;
        }
    };

    // How often a silent request checks whether its caller has disconnected.
    constexpr Milliseconds callerCheckInterval { 20 };

    transport::HttpResponse makeAnswer(const std::string& request, const std::string& body, int busy)
    {
        transport::HttpResponse response;
        response.contentType = "text/plain";
        response.body = request + ":" + body;
        response.headers["Rosemarylink-Request-Id"] = request;
        response.headers["Rosemarylink-Slots-Busy"] = std::to_string(busy);
        return response;
    }

    transport::HttpResponse makeRefusal(const std::string& request, int busy)
    {
        transport::HttpResponse response = makeAnswer(request, "refused", busy);
        response.status = 503;
        response.headers["Rosemarylink-Refused"] = "true";
        return response;
    }

    transport::HttpResponse connectionClosed()
    {
        transport::HttpResponse response;
        response.closeWithoutAnswer = true;
        return response;
    }

} // namespace

struct StandInUpstream::State {
    StandInUpstreamOptions options;
    mutable std::mutex mutex;
    std::condition_variable released;
    bool isReleased = false;
    std::mt19937_64 random;
    std::map<UpstreamId, std::unique_ptr<Upstream>> upstreams;
    std::unordered_map<std::string, int> executions;
    std::unordered_map<std::string, int> executionsByBody;
    std::string previousRequest = "none";

    std::optional<UpstreamFault> chooseFault(const UpstreamFaults& faults)
    {
        double remaining = std::uniform_real_distribution<double>(0, 1)(random);
        for (const auto& [fault, share] : faults.shares) {
            if (remaining < share)
                return fault;
            remaining -= share;
        }
        return std::nullopt;
    }

    void waitUnlessReleased(std::unique_lock<std::mutex>& lock, Milliseconds time)
    {
        released.wait_for(lock, time, [this] { return isReleased; });
    }

    // Takes a slot, waiting for one if necessary. Returns false if the queue is full.
    bool takeSlot(std::unique_lock<std::mutex>& lock, Upstream& upstream)
    {
        if (upstream.busy >= upstream.slots) {
            if (upstream.waiting >= options.queueLength)
                return false;
            ++upstream.waiting;
            upstream.slotFree.wait(lock, [&] { return isReleased || upstream.busy < upstream.slots; });
            --upstream.waiting;
        }
        upstream.setBusy(upstream.busy + 1, options.reportLag);
        return true;
    }

    void execute(
        std::unique_lock<std::mutex>& lock, Upstream& upstream, const std::string& request, const std::string& body)
    {
        ++upstream.executions;
        ++executions[request];
        if (options.countBodies)
            ++executionsByBody[body];
        waitUnlessReleased(lock, upstream.serviceTime);
    }

    transport::HttpResponse serve(Upstream& upstream, const transport::HttpRequest& request)
    {
        const std::string id = request.header("Rosemarylink-Request-Id");
        std::unique_lock lock(mutex);
        ++upstream.arrivals;
        const auto fault = chooseFault(upstream.faults);
        if (fault == UpstreamFault::FailBefore)
            return connectionClosed();
        if (fault == UpstreamFault::Refuse || !takeSlot(lock, upstream))
            return makeRefusal(id, upstream.reportedBusy(options.reportLag));
        execute(lock, upstream, id, request.body);
        if (fault == UpstreamFault::Late)
            waitUnlessReleased(lock, upstream.faults.lateBy);
        const int busy = upstream.reportedBusy(options.reportLag);
        upstream.setBusy(upstream.busy - 1, options.reportLag);
        upstream.slotFree.notify_one();
        while (fault == UpstreamFault::Silent && !isReleased && !(request.clientGone && request.clientGone()))
            waitUnlessReleased(lock, callerCheckInterval);
        return finish(fault, id, request.body, busy);
    }

    transport::HttpResponse finish(
        std::optional<UpstreamFault> fault, const std::string& id, const std::string& body, int busy)
    {
        transport::HttpResponse response = makeAnswer(id, body, busy);
        if (fault == UpstreamFault::FailAfter || fault == UpstreamFault::Silent)
            return connectionClosed();
        if (fault == UpstreamFault::Error)
            response.status = 500;
        if (fault == UpstreamFault::Swapped)
            response = makeAnswer(previousRequest, body, busy);
        if (fault == UpstreamFault::Duplicated)
            response.duplicate = true;
        if (fault == UpstreamFault::Truncated)
            response.truncateBodyBy = 1 + response.body.size() / 2;
        previousRequest = id;
        return response;
    }
};

StandInUpstream::StandInUpstream(const StandInUpstreamOptions& options)
    : state_(std::make_unique<State>())
{
    state_->options = options;
    state_->random.seed(options.seed);
}

StandInUpstream::~StandInUpstream() { release(); }

void StandInUpstream::addUpstream(transport::HttpRouter& router, const UpstreamId& id, int slots)
{
    const std::lock_guard lock(state_->mutex);
    auto& upstream = state_->upstreams[id];
    upstream = std::make_unique<Upstream>();
    upstream->slots = slots;
    upstream->serviceTime = state_->options.serviceTime;
    router.add("POST", "/u/" + id.value() + "/run",
        [state = state_.get(), upstream = upstream.get()](
            const transport::HttpRequest& request) { return state->serve(*upstream, request); });
}

void StandInUpstream::setFaults(const UpstreamId& id, const UpstreamFaults& faults)
{
    const std::lock_guard lock(state_->mutex);
    state_->upstreams.at(id)->faults = faults;
}

void StandInUpstream::setFaultsOfAll(const UpstreamFaults& faults)
{
    const std::lock_guard lock(state_->mutex);
    for (auto& [id, upstream] : state_->upstreams)
        upstream->faults = faults;
}

void StandInUpstream::setServiceTime(const UpstreamId& id, Milliseconds time)
{
    const std::lock_guard lock(state_->mutex);
    state_->upstreams.at(id)->serviceTime = time;
}

void StandInUpstream::release()
{
    const std::lock_guard lock(state_->mutex);
    state_->isReleased = true;
    state_->released.notify_all();
    for (auto& [id, upstream] : state_->upstreams)
        upstream->slotFree.notify_all();
}

std::map<std::string, int> StandInUpstream::executionsByRequest() const
{
    const std::lock_guard lock(state_->mutex);
    return { state_->executions.begin(), state_->executions.end() };
}

std::map<std::string, int> StandInUpstream::executionsByBody() const
{
    const std::lock_guard lock(state_->mutex);
    return { state_->executionsByBody.begin(), state_->executionsByBody.end() };
}

int StandInUpstream::busySlots(const UpstreamId& id) const
{
    const std::lock_guard lock(state_->mutex);
    return state_->upstreams.at(id)->busy;
}

std::int64_t StandInUpstream::executions(const UpstreamId& id) const
{
    const std::lock_guard lock(state_->mutex);
    return state_->upstreams.at(id)->executions;
}

std::int64_t StandInUpstream::arrivals(const UpstreamId& id) const
{
    const std::lock_guard lock(state_->mutex);
    return state_->upstreams.at(id)->arrivals;
}

std::int64_t StandInUpstream::totalArrivals() const
{
    const std::lock_guard lock(state_->mutex);
    std::int64_t total = 0;
    for (const auto& [id, upstream] : state_->upstreams)
        total += upstream->arrivals;
    return total;
}

} // namespace rosemarylink::standin
