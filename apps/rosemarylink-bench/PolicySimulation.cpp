#include "PolicySimulation.h"

#include "PolicyFleet.h"
#include "PolicyGuaranteeMonitor.h"
#include "PolicyMemory.h"

#include <chrono>
#include <iostream>
#include <queue>
#include <set>

namespace rosemarylink::bench {

namespace {

    using policy::GangOutcome;

    constexpr Milliseconds launchDelay { 1000 };
    constexpr Milliseconds stopTime { 2000 };
    constexpr Milliseconds checkpointTime { 20000 };
    constexpr Milliseconds resumeTime { 30000 }; // added to the run time by a resume from a checkpoint
    constexpr Milliseconds lossDetectionDelay { 5000 };
    constexpr Milliseconds taskFailureDelay { 10000 };
    constexpr Milliseconds maxDecisionInterval { 15000 }; // longest interval between decisions
    constexpr Milliseconds maxDrainTime { std::chrono::hours(240) };

    enum class JobState {
        NotSubmitted,
        Waiting,
        Launching,
        Running,
        Stopping,
        Ended,
    };

    struct SimulatedJob {
        const JobArrival* arrival = nullptr;
        JobState state = JobState::NotSubmitted;
        std::vector<std::size_t> shapes; // guaranteed shapes that it fits
        std::vector<std::size_t> workers;
        Milliseconds done { 0 }; // run time that checkpoints preserved
        Timestamp runningSince;
        bool resumed = false;
        bool borrowed = false;
        bool cancelled = false;
        bool completed = false;
        bool everStarted = false;
        bool checkpointing = false;
        int run = 0; // number of ended runs; events of earlier runs are ignored
        policy::StopReason stopReason = policy::StopReason::Cancelled;
    };

    enum class EventKind {
        Arrival,
        Fleet,
        Launched,
        Completed,
        TaskFails,
        Stopped,
        WorkerLost,
        Tick,
    };

    struct Event {
        Timestamp at;
        std::uint64_t order;
        EventKind kind;
        std::size_t index;
        int run;

        friend bool operator>(const Event& a, const Event& b) { return a.at != b.at ? a.at > b.at : a.order > b.order; }
    };

    class Simulation {
    public:
        Simulation(const PolicyProfile& profile, const PolicyWorkload& workload, const std::string& policyName,
            PolicyMeasures measures)
            : profile_(profile)
            , workload_(workload)
            , measures_(std::move(measures))
            , fleet_(profile.workers)
            , monitor_(profile.declarations, profile.workers, measures_)
        {
            PolicyMemoryScope::reset();
            const PolicyMemoryScope memory;
            policy_ = std::move(policy::makePolicy(policyName)).value();
            for (const model::WorkerSpec& worker : profile.workers)
                policy_->addWorker(worker, now_).value();
            policy_->configure({ ConfigVersion(1), profile.declarations }, now_).value();
        }

        PolicyMeasures run()
        {
            jobs_.resize(workload_.arrivals.size());
            for (std::size_t index = 0; index < jobs_.size(); ++index) {
                jobs_[index].arrival = &workload_.arrivals[index];
                jobs_[index].shapes = monitor_.shapesFor(jobs_[index].arrival->spec);
                indices_[jobs_[index].arrival->spec.id.value()] = index;
                schedule(workload_.arrivals[index].at, EventKind::Arrival, index);
            }
            unfinished_ = jobs_.size();
            for (std::size_t index = 0; index < workload_.events.size(); ++index)
                schedule(workload_.events[index].at, EventKind::Fleet, index);
            schedule(now_ + maxDecisionInterval, EventKind::Tick, 0);
            while (!events_.empty() && unfinished_ > 0 && events_.top().at < workload_.end + maxDrainTime)
                step();
            finish();
            return std::move(measures_);
        }

    private:
        void schedule(Timestamp at, EventKind kind, std::size_t index, int run = 0)
        {
            events_.push({ at, nextOrder_++, kind, index, run });
        }

        // Calls the policy and adds the elapsed time to that of the current decision.
        template <typename Call> auto callTimed(Call&& call)
        {
            const PolicyMemoryScope memory;
            const auto before = std::chrono::steady_clock::now();
            auto result = call();
            decisionTime_ += std::chrono::steady_clock::now() - before;
            return result;
        }

        void step()
        {
            const Timestamp at = events_.top().at;
            integrate(at);
            now_ = at;
            bool onlyTick = true;
            while (!events_.empty() && events_.top().at == at) {
                const Event event = events_.top();
                events_.pop();
                onlyTick = onlyTick && event.kind == EventKind::Tick;
                handle(event);
            }
            {
                const auto decisions = callTimed([this] { return policy_->decide(now_); });
                apply(decisions);
            }
            if (!onlyTick)
                measures_.decisionMicros.add(std::chrono::duration<double, std::micro>(decisionTime_).count());
            decisionTime_ = {};
            monitor_.check(now_, [this](const model::GuaranteedShape& shape) { return isReportedAtRisk(shape); });
        }

        bool isReportedAtRisk(const model::GuaranteedShape& shape) const
        {
            const policy::PolicySnapshot snapshot = policy_->snapshot(now_);
            return std::any_of(snapshot.guarantees.begin(), snapshot.guarantees.end(), [&shape](const auto& status) {
                return status.shape.account == shape.account && status.shape.name == shape.name && !status.reclaimable;
            });
        }

        void handle(const Event& event)
        {
            switch (event.kind) {
            case EventKind::Arrival:
                return submit(event.index);
            case EventKind::Fleet:
                return changeFleet(workload_.events[event.index]);
            case EventKind::Tick:
                return schedule(now_ + maxDecisionInterval, EventKind::Tick, 0);
            default:
                break;
            }
            SimulatedJob& job = jobs_[event.index];
            if (job.run != event.run || job.state == JobState::Waiting || job.state == JobState::Ended)
                return;
            switch (event.kind) {
            case EventKind::Launched:
                return markLaunched(event.index);
            case EventKind::Completed:
                return end(event.index, GangOutcome::Completed);
            case EventKind::TaskFails:
                return failTask(event.index);
            case EventKind::Stopped:
                return end(event.index,
                    job.stopReason == policy::StopReason::WorkerLost ? GangOutcome::WorkerLost : GangOutcome::Stopped);
            case EventKind::WorkerLost:
                return end(event.index, GangOutcome::WorkerLost);
            default:
                return;
            }
        }

        void submit(std::size_t index)
        {
            SimulatedJob& job = jobs_[index];
            const auto admission = callTimed([&] { return policy_->submit(job.arrival->spec, now_); });
            if (!admission) {
                ++measures_.refused;
                job.state = JobState::Ended;
                --unfinished_;
                return;
            }
            ++measures_.jobs;
            worthAccepted_ += job.arrival->spec.worth;
            wait(index);
        }

        void wait(std::size_t index)
        {
            SimulatedJob& job = jobs_[index];
            job.state = JobState::Waiting;
            if (job.arrival->spec.perTask.accelerators.value() > 0)
                waitingBySize_.emplace(job.arrival->spec.tasks * job.arrival->spec.perTask.accelerators.value(), index);
            monitor_.jobQueued(job.arrival->spec, job.shapes);
        }

        void stopWaiting(std::size_t index)
        {
            SimulatedJob& job = jobs_[index];
            waitingBySize_.erase({ job.arrival->spec.tasks * job.arrival->spec.perTask.accelerators.value(), index });
            monitor_.jobDequeued(job.arrival->spec, job.shapes);
        }

        void changeFleet(const FleetEvent& event)
        {
            switch (event.kind) {
            case FleetEventKind::WorkerFailsTasks:
            case FleetEventKind::WorkerRepaired:
                fleet_.setFailsTasks(event.worker, event.kind == FleetEventKind::WorkerFailsTasks);
                if (event.kind == FleetEventKind::WorkerFailsTasks)
                    fleet_.setEligible(event.worker, false);
                monitor_.fleetChanged(fleet_.eligibleWorkers());
                return;
            case FleetEventKind::WorkerEligible:
                fleet_.setEligible(event.worker, true);
                monitor_.fleetChanged(fleet_.eligibleWorkers());
                return;
            case FleetEventKind::CancelWave:
                return cancelHalf(event.account);
            case FleetEventKind::WorkerLost:
            case FleetEventKind::WorkerReady:
                break;
            }
            const bool lost = event.kind == FleetEventKind::WorkerLost;
            fleet_.setLost(event.worker, lost);
            callTimed([&] {
                policy_->setWorkerState(fleet_.spec(event.worker).id,
                    lost ? model::ResourceState::Lost : model::ResourceState::Ready, now_);
                return 0;
            });
            for (std::size_t index = 0; lost && index < jobs_.size(); ++index) {
                const auto& workers = jobs_[index].workers;
                if (std::find(workers.begin(), workers.end(), event.worker) != workers.end())
                    schedule(now_ + lossDetectionDelay, EventKind::WorkerLost, index, jobs_[index].run);
            }
            monitor_.fleetChanged(fleet_.eligibleWorkers());
        }

        void cancelHalf(const AccountId& account)
        {
            for (std::size_t index = 0; index < jobs_.size(); index += 2) {
                SimulatedJob& job = jobs_[index];
                const bool active = job.state != JobState::NotSubmitted && job.state != JobState::Ended;
                if (!active || job.arrival->spec.account != account)
                    continue;
                job.cancelled = true;
                callTimed([&] {
                    policy_->cancel(job.arrival->spec.id, now_);
                    return 0;
                });
                if (job.state == JobState::Waiting) {
                    stopWaiting(index);
                    job.state = JobState::Ended;
                    --unfinished_;
                }
            }
        }

        void markLaunched(std::size_t index)
        {
            SimulatedJob& job = jobs_[index];
            if (job.state != JobState::Launching)
                return;
            job.state = JobState::Running;
            job.runningSince = now_;
            callTimed([&] {
                policy_->gangStarted(job.arrival->spec.id, now_);
                return 0;
            });
            const bool fails = job.arrival->alwaysFails
                || std::any_of(job.workers.begin(), job.workers.end(),
                    [this](std::size_t worker) { return fleet_.failsTasks(worker); });
            if (fails)
                schedule(now_ + taskFailureDelay, EventKind::TaskFails, index, job.run);
            const Milliseconds left = job.arrival->runTime - job.done + (job.resumed ? resumeTime : Milliseconds(0));
            schedule(now_ + std::max(left, Milliseconds(1)), EventKind::Completed, index, job.run);
        }

        void failTask(std::size_t index)
        {
            SimulatedJob& job = jobs_[index];
            std::size_t failed = job.workers[index % job.workers.size()];
            for (const std::size_t worker : job.workers) {
                if (fleet_.failsTasks(worker))
                    failed = worker;
            }
            callTimed([&] {
                policy_->taskFailed(job.arrival->spec.id, fleet_.spec(failed).id, now_);
                return 0;
            });
            end(index, GangOutcome::Failed);
        }

        void end(std::size_t index, GangOutcome outcome)
        {
            SimulatedJob& job = jobs_[index];
            const model::JobSpec& spec = job.arrival->spec;
            accountForRun(job, outcome);
            fleet_.release(job.workers, spec.perTask);
            busy_ -= spec.tasks * spec.perTask.accelerators.value();
            runningTasks_ -= spec.tasks;
            monitor_.gangEnded(spec, fleet_.spec(job.workers.front()).region, job.borrowed);
            job.workers.clear();
            const auto disposition = callTimed([&] { return policy_->gangEnded(spec.id, outcome, now_); });
            ++job.run;
            if (disposition == policy::JobDisposition::Requeued)
                return wait(index);
            job.state = JobState::Ended;
            --unfinished_;
            measures_.mayHaveRun += disposition == policy::JobDisposition::MayHaveRun ? 1 : 0;
            if (outcome == GangOutcome::Completed) {
                job.completed = true;
                measures_.completion.add(seconds(now_ - job.arrival->at), spec.worth);
                if (now_ <= workload_.end)
                    worthCompleted_ += spec.worth;
            } else if (!job.cancelled)
                worthFailed_ += spec.worth;
        }

        // Counts the work of the ended run and the part of it that was lost.
        void accountForRun(SimulatedJob& job, GangOutcome outcome)
        {
            if (job.state == JobState::Launching)
                return;
            const auto size
                = static_cast<double>(job.arrival->spec.tasks * job.arrival->spec.perTask.accelerators.value());
            const Milliseconds ran = now_ - job.runningSince;
            workDone_ += size * seconds(ran);
            if (outcome == GangOutcome::Completed)
                return;
            Milliseconds kept { 0 };
            if (outcome == GangOutcome::Stopped && job.checkpointing) {
                kept = std::max(ran - checkpointTime - (job.resumed ? resumeTime : Milliseconds(0)), Milliseconds(0));
                kept = std::min(kept, job.arrival->runTime - job.done);
                job.done += kept;
                job.resumed = true;
            }
            if (!job.cancelled)
                workLost_ += size * seconds(ran - kept);
        }

        void apply(const policy::Decisions& decisions)
        {
            for (const policy::StopDecision& stop : decisions.stops)
                applyStop(stop);
            for (const policy::StartDecision& start : decisions.starts)
                applyStart(start);
        }

        void applyStop(const policy::StopDecision& stop)
        {
            const std::size_t index = indices_.at(stop.job.value());
            SimulatedJob& job = jobs_[index];
            // A cell does not know a gang before its start, and a stop of it has no effect.
            if (job.state == JobState::Waiting)
                return;
            ++measures_.stops;
            measures_.reclaims += stop.reason == policy::StopReason::Reclaimed ? 1 : 0;
            measures_.moves += stop.reason == policy::StopReason::Defragmented ? 1 : 0;
            job.checkpointing = stop.checkpointFirst && job.state == JobState::Running;
            job.stopReason = stop.reason;
            if (job.state == JobState::Running)
                job.state = JobState::Stopping;
            schedule(now_ + (job.checkpointing ? checkpointTime : stopTime), EventKind::Stopped, index, job.run);
        }

        void applyStart(const policy::StartDecision& start)
        {
            const std::size_t index = indices_.at(start.job.value());
            SimulatedJob& job = jobs_[index];
            const model::JobSpec& spec = job.arrival->spec;
            ++measures_.starts;
            if (job.state != JobState::Waiting || (job.everStarted && !spec.idempotent && !spec.checkpointable))
                ++measures_.doubleRuns;
            if (job.state != JobState::Waiting)
                return;
            stopWaiting(index);
            for (const WorkerId& worker : start.placement.workers)
                job.workers.push_back(fleet_.indexOf(worker));
            if (static_cast<std::int64_t>(job.workers.size()) != spec.tasks
                || !fleet_.isAdjacent(job.workers, spec.adjacency))
                ++measures_.partialGangs;
            fleet_.allocate(job.workers, spec.perTask);
            measures_.overcommits += fleet_.isWithinCapacity(job.workers) ? 0 : 1;
            busy_ += spec.tasks * spec.perTask.accelerators.value();
            runningTasks_ += spec.tasks;
            measures_.runningTasksMax = std::max(measures_.runningTasksMax, runningTasks_);
            job.borrowed = start.borrowed;
            job.state = JobState::Launching;
            monitor_.gangPlaced(spec, fleet_.spec(job.workers.front()).region, start.borrowed);
            if (!start.borrowed)
                monitor_.jobStarted(job.shapes, now_);
            if (!job.everStarted)
                recordFirstStart(job);
            job.everStarted = true;
            schedule(now_ + launchDelay, EventKind::Launched, index, job.run);
        }

        void recordFirstStart(const SimulatedJob& job)
        {
            const double waited = seconds(now_ - job.arrival->at);
            if (job.arrival->spec.tasks >= 32 && job.arrival->spec.perTask.accelerators.value() > 0)
                measures_.largeGangWait.add(waited);
            if (job.arrival->spec.urgent)
                measures_.urgentWait.add(waited + seconds(launchDelay));
        }

        static double seconds(std::chrono::nanoseconds duration)
        {
            return std::chrono::duration<double>(duration).count();
        }

        // Adds the time until the next event to the time averages. Only the time until the arrivals end counts.
        void integrate(Timestamp until)
        {
            const double length = seconds(std::min(until, workload_.end) - std::min(now_, workload_.end));
            if (length <= 0)
                return;
            model::JobSpec gang;
            gang.tasks = 32;
            gang.perTask = profile_.kinds.front().perTask;
            gang.adjacency = model::Adjacency::Rack;
            if (!waitingBySize_.empty())
                gang = jobs_[waitingBySize_.rbegin()->second].arrival->spec;
            fragmentation_ += length * fleet_.fragmentation(gang);
            busyTime_ += length * static_cast<double>(busy_);
        }

        void finish()
        {
            const double horizon = seconds(workload_.end.time_since_epoch());
            measures_.fragmentation = fragmentation_ / horizon;
            measures_.utilisation
                = busyTime_ / horizon / static_cast<double>(profile_.totalCapacity().accelerators.value());
            measures_.lostWork = workDone_ > 0 ? workLost_ / workDone_ : 0;
            measures_.worthCompleted = worthCompleted_ / std::max(worthAccepted_, 1e-9);
            measures_.worthFailed = worthFailed_ / std::max(worthAccepted_, 1e-9);
            measures_.memoryBytes = PolicyMemoryScope::peakBytes();
            std::vector<const JobArrival*> completed;
            for (const SimulatedJob& job : jobs_) {
                if (job.completed)
                    completed.push_back(job.arrival);
                if (job.state != JobState::Ended)
                    ++measures_.lostJobs;
            }
            measures_.completionLowerBound = completionLowerBound(profile_, completed);
        }

        const PolicyProfile& profile_;
        const PolicyWorkload& workload_;
        PolicyMeasures measures_;
        PolicyFleet fleet_;
        PolicyGuaranteeMonitor monitor_;
        std::unique_ptr<policy::SchedulingPolicy> policy_;
        std::vector<SimulatedJob> jobs_;
        std::unordered_map<std::string, std::size_t> indices_;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
        std::set<std::pair<std::int64_t, std::size_t>> waitingBySize_; // (accelerators, job)
        std::uint64_t nextOrder_ = 0;
        std::size_t unfinished_ = 0;
        Timestamp now_;
        std::chrono::steady_clock::duration decisionTime_ {};
        std::int64_t busy_ = 0; // accelerators
        std::int64_t runningTasks_ = 0;
        double fragmentation_ = 0;
        double busyTime_ = 0;
        double workDone_ = 0;
        double workLost_ = 0;
        double worthAccepted_ = 0;
        double worthCompleted_ = 0;
        double worthFailed_ = 0;
    };

} // namespace

PolicyMeasures simulatePolicy(
    const PolicyProfile& profile, const PolicyWorkload& workload, const std::string& policyName, PolicyMeasures labels)
{
    return Simulation(profile, workload, policyName, std::move(labels)).run();
}

} // namespace rosemarylink::bench
