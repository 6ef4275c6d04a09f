// Random sequences of operations and failures on one cell with three schedulers, checked against the cell's invariants.
#include "CellChecks.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>

namespace rosemarylink::state {
namespace {

    using namespace fakes;

    constexpr int schedulers = 3;
    constexpr int workers = 5;

    // The state that command generation needs: the number of submitted jobs.
    struct Model {
        int jobs = 0;
    };

    struct System {
        System()
            : harness(workers, 3)
            , checks(harness)
        {
            harness.stepTime = Milliseconds(100);
            for (int index = 0; index < schedulers; ++index)
                harness.addScheduler();
        }

        void advance(Milliseconds duration)
        {
            const Milliseconds end = harness.clock.monotonic() + duration;
            while (harness.clock.monotonic() < end) {
                for (auto& [id, until] : staleUntil) {
                    if (harness.clock.monotonic() >= until)
                        harness.fleet.worker(id).staleReport.reset();
                }
                harness.step();
                checks.observe();
            }
        }

        Scheduler& scheduler(int index) { return *harness.schedulers[static_cast<std::size_t>(index)]; }
        FakeWorkerAgent::Worker& worker(int index) { return harness.fleet.worker(workerId(index)); }
        static WorkerId workerId(int index) { return WorkerId("worker-" + std::to_string(10000 + index)); }
        static std::string job(int index) { return "job-" + std::to_string(index); }

        void submit(int index)
        {
            // One third of the jobs each is idempotent, neither idempotent nor checkpointable, and checkpointable.
            model::JobSpec spec = makeJob(job(index), 2 + index % 5 * 3, index % 3 != 1);
            spec.checkpointable = index % 3 == 2;
            submitted.push_back(spec);
            for (const auto& scheduler : harness.schedulers) {
                if (!scheduler->process->crashed && !scheduler->paused && scheduler->controller->submit(spec))
                    checks.accept(spec);
            }
        }

        void clearFailures()
        {
            harness.config.version += ConfigVersion(1);
            for (const auto& scheduler : harness.schedulers) {
                scheduler->store->faults = {};
                scheduler->workers->cutOff = false;
                scheduler->paused = false;
                scheduler->process->crashBeforeCall.reset();
                if (scheduler->process->crashed)
                    harness.restart(*scheduler);
                if (!scheduler->controller->configure(harness.config))
                    std::abort();
            }
            for (auto& [id, worker] : harness.fleet.workers()) {
                worker.unreachable = false;
                worker.loseReplies = false;
                worker.refuse = false;
                worker.failTasks = false;
                worker.staleReport.reset();
            }
        }

        // Ends all failures, then completes every job. A submission that returned an error may have stored a job too.
        void settle()
        {
            clearFailures();
            for (int round = 0; round < 240 && (round < 60 || !checks.allEnded()); ++round) {
                advance(Milliseconds(1000));
                for (const model::JobSpec& spec : submitted) {
                    if (harness.runs(spec.id.value(), spec.tasks))
                        harness.fleet.finishJob(spec.id, TaskState::Completed);
                }
            }
            advance(Milliseconds(60000));
        }

        std::size_t leftovers()
        {
            std::size_t left = harness.placements().gangs.size();
            for (const auto& [id, worker] : harness.fleet.workers())
                left += worker.tasks.size();
            return left;
        }

        CellHarness harness;
        CellChecks checks;
        std::map<WorkerId, Milliseconds> staleUntil;
        std::vector<model::JobSpec> submitted;
    };

    using Command = rc::state::Command<Model, System>;

    // A command that does not change the model.
    class Event : public Command {
    public:
        void run(const Model&, System& system) const override
        {
            act(system);
            RC_ASSERT(system.checks.violations() == "");
        }

    protected:
        virtual void act(System&) const = 0;
    };

    struct Submit final : Event {
        void apply(Model& model) const override { ++model.jobs; }
        void checkPreconditions(const Model& model) const override { RC_PRE(model.jobs < 12); }
        void run(const Model& model, System& system) const override
        {
            system.submit(model.jobs);
            RC_ASSERT(system.checks.violations() == "");
        }
        void act(System&) const override { }
        void show(std::ostream& out) const override { out << "Submit"; }
    };

    struct Advance final : Event {
        std::int64_t milliseconds = *rc::gen::element(200, 500, 1000, 3000, 9000, 25000);
        void act(System& system) const override { system.advance(Milliseconds(milliseconds)); }
        void show(std::ostream& out) const override { out << "Advance " << milliseconds; }
    };

    // Ends, cancels or reclaims one of the jobs.
    struct JobEvent final : Event {
        int kind = *rc::gen::inRange(0, 5);
        int job = *rc::gen::inRange(0, 12);
        void act(System& system) const override
        {
            const JobId id(System::job(job));
            Scheduler* owner = system.harness.owner();
            if (kind == 0 || kind == 1)
                system.harness.fleet.finishJob(id, TaskState::Completed);
            else if (kind == 2)
                system.harness.fleet.finishJob(id, TaskState::Failed);
            else if (kind == 3 && owner != nullptr && !owner->paused)
                (void)owner->controller->cancel(id);
            else if (owner != nullptr && !owner->paused && job % 3 != 1)
                owner->policy->requestStop(id, policy::StopReason::Reclaimed, job % 3 == 2);
        }
        void show(std::ostream& out) const override { out << "JobEvent " << kind << " of " << job; }
    };

    struct ProcessEvent final : Event {
        int kind = *rc::gen::inRange(0, 12);
        int index = *rc::gen::inRange(0, schedulers);
        int count = *rc::gen::inRange(1, 20);
        void act(System& system) const override
        {
            Scheduler& scheduler = system.scheduler(index);
            auto& faults = scheduler.store->faults;
            switch (kind) {
            case 0:
                scheduler.process->crashed = true;
                break;
            case 1:
                system.harness.restart(scheduler);
                break;
            case 2:
                scheduler.paused = true;
                break;
            case 3:
                scheduler.paused = false;
                break;
            case 4:
                scheduler.process->crashBeforeCall = scheduler.process->calls + count;
                break;
            case 5:
                faults.loseReply = 1 + count % 4;
                break;
            case 6:
                faults.expireLeasesAtWrite = 1 + count % 4;
                break;
            case 7:
                faults.down = !faults.down;
                break;
            case 8:
                faults.slow = !faults.slow;
                break;
            case 9:
                scheduler.workers->cutOff = !scheduler.workers->cutOff;
                break;
            case 10:
                system.harness.config.version += ConfigVersion(1);
                break;
            default:
                // A new configuration version reaches the schedulers at different times.
                if (!scheduler.process->crashed && !scheduler.controller->configure(system.harness.config))
                    std::abort();
                break;
            }
        }
        void show(std::ostream& out) const override
        {
            out << "ProcessEvent " << kind << " at " << index << " count " << count;
        }
    };

    struct WorkerEvent final : Event {
        int kind = *rc::gen::inRange(0, 6);
        int index = *rc::gen::inRange(0, workers);
        void act(System& system) const override
        {
            FakeWorkerAgent::Worker& worker = system.worker(index);
            switch (kind) {
            case 0:
                worker.unreachable = !worker.unreachable;
                break;
            case 1:
                system.harness.fleet.restartWorker(System::workerId(index), false);
                break;
            case 2:
                worker.refuse = !worker.refuse;
                break;
            case 3:
                worker.loseReplies = !worker.loseReplies;
                break;
            case 4:
                worker.failTasks = !worker.failTasks;
                break;
            default:
                system.harness.fleet.freezeReport(System::workerId(index));
                system.staleUntil[System::workerId(index)] = system.harness.clock.monotonic() + Milliseconds(10000);
                break;
            }
        }
        void show(std::ostream& out) const override { out << "WorkerEvent " << kind << " at " << index; }
    };

    struct LeasesLapse final : Event {
        void act(System& system) const override { system.harness.store.expireAllLeases(); }
        void show(std::ostream& out) const override { out << "LeasesLapse"; }
    };

    TEST_CASE("invariants of accepted jobs hold under random failures and takeovers")
    {
        std::int64_t accepted = 0;
        std::int64_t takeovers = 0;
        const bool holds = rc::check("whole gangs, one start, no lost job, no older configuration, rising tokens", [&] {
            const Model initial;
            System system;
            const auto commands = *rc::state::gen::commands(initial,
                rc::state::gen::execOneOfWithArgs<Submit, Submit, Advance, Advance, Advance, Advance, JobEvent,
                    JobEvent, ProcessEvent, ProcessEvent, WorkerEvent, LeasesLapse>());
            rc::state::runAll(commands, initial, system);
            system.settle();
            RC_ASSERT(system.checks.violations() == "");
            RC_ASSERT(system.checks.allEnded());
            RC_ASSERT(system.leftovers() == 0U);
            accepted += static_cast<std::int64_t>(system.checks.accepted().size());
            takeovers += system.harness.placements().token.value();
        });
        CHECK(holds);
        // Guards against sequences that accept hardly any jobs or cause hardly any takeovers.
        CHECK(accepted > 100);
        CHECK(takeovers > 100);
    }

} // namespace
} // namespace rosemarylink::state
