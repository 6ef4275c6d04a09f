#include "SimCluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <ostream>

namespace rosemarylink::jobs {

namespace {

    // A fault to inject, and how long the simulation runs afterwards.
    struct Fault {
        int kind = 0;
        int choice = 0;
        Milliseconds pause { 0 };
    };

    // Used by RapidCheck to print a failing sequence.
    std::ostream& operator<<(std::ostream& out, const Fault& fault)
    {
        return out << "{" << fault.kind << ", " << fault.choice << ", Milliseconds(" << fault.pause.count() << ")}";
    }

    // The last kind submits a job with a task that crashes its workers.
    constexpr int faultKinds = 12;
    constexpr int faultKindsWithCrashes = 13;

    rc::Gen<Fault> genFault(int kinds)
    {
        return rc::gen::build<Fault>(rc::gen::set(&Fault::kind, rc::gen::inRange(0, kinds)),
            rc::gen::set(&Fault::choice, rc::gen::inRange(0, 4)),
            rc::gen::set(
                &Fault::pause, rc::gen::map(rc::gen::inRange(1, 2500), [](int ms) { return Milliseconds(ms); })));
    }

    // Injects faults into a cluster while callers keep submitting jobs.
    class Scenario {
    public:
        Scenario()
            : cluster_(3)
        {
            cluster_.addWorkers(2, 2);
            cluster_.world.run(Milliseconds(500));
        }

        void inject(const Fault& fault)
        {
            submit(fault.choice);
            const WorkerId worker("w" + std::to_string(fault.choice / 2) + "-" + std::to_string(fault.choice % 2));
            switch (fault.kind) {
            case 0:
                if (SimInstance* const owner = cluster_.currentOwner()) {
                    owner->kill();
                    cluster_.addInstance();
                }
                break;
            case 1:
                if (SimInstance* const owner = cluster_.currentOwner())
                    owner->shutDown();
                cluster_.addInstance();
                break;
            case 2:
                cluster_.store.mode = SimStore::Mode::Refusing;
                break;
            case 3:
                cluster_.store.mode = SimStore::Mode::Silent;
                break;
            case 4:
                cluster_.store.lostResponseShare = 0.4;
                cluster_.store.lostResponseWriteDelay = Milliseconds(fault.choice * 1500);
                break;
            case 5:
                cluster_.fleet.restart(worker);
                break;
            case 6:
                cluster_.fleet.silent = { worker };
                break;
            case 7:
                cluster_.fleet.delayedCommandShare = 0.3;
                cluster_.fleet.commandDelay = Milliseconds(1000 + fault.choice * 3000);
                break;
            case 8:
                if (SimInstance* const owner = cluster_.currentOwner())
                    owner->store.disconnected = true;
                break;
            case 9:
                cancelAccepted(fault.choice);
                break;
            case 10:
                cluster_.store.forgetHistory();
                break;
            case 12:
                submitCrashing(fault.choice);
                break;
            default:
                clearFaults();
            }
            cluster_.world.run(fault.pause);
        }

        void clearFaults()
        {
            cluster_.store.mode = SimStore::Mode::Up;
            cluster_.store.lostResponseShare = 0;
            cluster_.fleet.silent.clear();
            cluster_.fleet.delayedCommandShare = 0;
            for (const auto& instance : cluster_.instances)
                instance->store.disconnected = false;
        }

        // Clears all faults and checks that every accepted job ends, that jobs which were not cancelled complete, and
        // that the workers saw no violation.
        void finish()
        {
            clearFaults();
            cluster_.world.run(Milliseconds(60000));
            for (const std::string& violation : cluster_.fleet.violations())
                RC_FAIL(violation);
            for (const std::string& id : accepted_) {
                const auto state = cluster_.storedState(id);
                RC_ASSERT(state.has_value());
                if (crashing_.count(id) > 0)
                    RC_ASSERT(*state != JobState::Completed);
                else if (cancelled_.count(id) == 0 && *state != JobState::Completed)
                    RC_FAIL("job " + id + " is " + std::string(jobStateName(*state)));
                RC_ASSERT(isFinal(*state));
            }
            RC_ASSERT(cluster_.currentOwner() != nullptr);
        }

    private:
        std::size_t someInstance(int choice)
        {
            for (std::size_t offset = 0; offset < cluster_.instances.size(); ++offset) {
                const std::size_t index = (static_cast<std::size_t>(choice) + offset) % cluster_.instances.size();
                if (!cluster_.instances[index]->timers.killed)
                    return index;
            }
            return 0;
        }

        void submit(int choice)
        {
            const std::string id = "j" + std::to_string(++submitted_);
            const char* const queues[] = { "urgent", "batch", "sweep", "batch" };
            JobSpec job = oneStep(1 + choice, 1 + choice * 2, Milliseconds(400 + choice * 900), choice % 2 == 0);
            job.steps[0].checkpointing = choice > 1;
            const auto response = cluster_.submit(queues[choice], id, job, someInstance(choice), Milliseconds(1500));
            if (response.outcome == AdmissionOutcome::Accepted)
                accepted_.push_back(id);
        }

        // Submits a job with a task that crashes each worker that starts it.
        void submitCrashing(int choice)
        {
            const std::string id = "j" + std::to_string(submitted_ + 1);
            cluster_.fleet.crashingTasks.insert(id + ".0.0.0");
            cluster_.fleet.crashDelay = Milliseconds(choice * 10);
            crashing_.insert(id);
            submit(choice);
        }

        void cancelAccepted(int choice)
        {
            if (accepted_.empty())
                return;
            const std::string id = accepted_[static_cast<std::size_t>(choice) % accepted_.size()];
            // A cancellation whose write got no response may still take effect, even if a later attempt finds no job.
            const AdmissionOutcome outcome = cluster_.cancel("urgent", id, someInstance(choice)).outcome;
            if (outcome != AdmissionOutcome::NotRun)
                cancelled_.insert(id);
        }

        SimCluster cluster_;
        int submitted_ = 0;
        std::vector<std::string> accepted_;
        std::set<std::string> cancelled_;
        std::set<std::string> crashing_;
    };

} // namespace

// Guards against violations of the system's invariants under any sequence of faults: at most one run of a task at a
// time, no start after an acknowledged end, no accepted job lost, and an owner once all faults are cleared.
TEST_CASE("the scheduler's invariants hold under any sequence of faults")
{
    rc::prop("invariants hold", [] {
        const auto faults = *rc::gen::container<std::vector<Fault>>(genFault(faultKinds));
        Scenario scenario;
        for (const Fault& fault : faults)
            scenario.inject(fault);
        scenario.finish();
    });
}

// Guards the same invariants while tasks crash their workers; their jobs must end without having completed, and no
// other job may fail.
TEST_CASE("the scheduler's invariants hold while tasks crash their workers")
{
    rc::prop("invariants hold", [] {
        const auto faults = *rc::gen::container<std::vector<Fault>>(genFault(faultKindsWithCrashes));
        Scenario scenario;
        for (const Fault& fault : faults)
            scenario.inject(fault);
        scenario.finish();
    });
}

} // namespace rosemarylink::jobs
