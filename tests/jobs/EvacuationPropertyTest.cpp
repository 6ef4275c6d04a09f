#include "SimCluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <ostream>

namespace rosemarylink::jobs {

namespace {

    // What happens to the cluster, and how long the simulation runs afterwards.
    struct Event {
        int kind = 0;
        int choice = 0;
        Milliseconds pause { 0 };
    };

    // Used by RapidCheck to print a failing sequence.
    std::ostream& operator<<(std::ostream& out, const Event& event)
    {
        return out << "{" << event.kind << ", " << event.choice << ", Milliseconds(" << event.pause.count() << ")}";
    }

    constexpr int eventKinds = 12;

    rc::Gen<Event> genEvent()
    {
        return rc::gen::build<Event>(rc::gen::set(&Event::kind, rc::gen::inRange(0, eventKinds)),
            rc::gen::set(&Event::choice, rc::gen::inRange(0, 4)),
            rc::gen::set(
                &Event::pause, rc::gen::map(rc::gen::inRange(1, 2500), [](int ms) { return Milliseconds(ms); })));
    }

    // Evacuates domains, and revokes that, while callers keep submitting jobs and parts of the system fail. Workers
    // stay in reach, since a start without a response cannot be stopped on a worker that is not.
    class Scenario {
    public:
        Scenario()
            : cluster_(3)
        {
            cluster_.enableEvacuations();
            cluster_.addWorkers(3, 2);
            cluster_.world.run(Milliseconds(1000));
        }

        void happen(const Event& event)
        {
            submit(event.choice);
            const std::string rack = "r" + std::to_string(event.choice % 3);
            SimInstance* const owner = cluster_.currentOwner();
            switch (event.kind) {
            case 0:
            case 1:
                if (cluster_.fleet.startsForbiddenFrom.count(rack) == 0)
                    cluster_.evacuate(rack);
                break;
            case 2:
                cluster_.revokeEvacuation(rack);
                break;
            case 3:
                if (owner) {
                    owner->kill();
                    cluster_.addInstance();
                }
                break;
            case 4:
                cluster_.addInstance();
                if (owner)
                    owner->shutDown();
                break;
            case 5:
                if (owner)
                    owner->store.disconnected = true;
                break;
            case 6:
                if (owner)
                    owner->pause(Milliseconds(500 + event.choice * 1500));
                break;
            case 7:
                loseLists(0.2 * (event.choice + 1));
                break;
            case 8:
                cluster_.store.mode = SimStore::Mode::Silent;
                break;
            case 9:
                cluster_.fleet.delayedCommandShare = 0.3;
                cluster_.fleet.commandDelay = Milliseconds(1000 + event.choice * 3000);
                break;
            case 10:
                cluster_.fleet.restart(WorkerId("w" + std::to_string(event.choice % 3) + "-0"));
                break;
            default:
                clearFaults();
            }
            cluster_.world.run(event.pause);
        }

        // Clears all faults and evacuations and checks that the workers saw no violation and that all jobs complete.
        void finish()
        {
            clearFaults();
            cluster_.world.run(Milliseconds(10000));
            for (int rack = 0; rack < 3; ++rack)
                cluster_.revokeEvacuation("r" + std::to_string(rack));
            cluster_.world.run(Milliseconds(60000));
            for (const std::string& violation : cluster_.fleet.violations())
                RC_FAIL(violation);
            for (const std::string& id : accepted_) {
                if (cluster_.storedState(id) != JobState::Completed)
                    RC_FAIL("job " + id + " is not completed");
            }
        }

    private:
        void submit(int choice)
        {
            const std::string id = "j" + std::to_string(++submitted_);
            const char* const queues[] = { "urgent", "batch", "sweep", "batch" };
            const JobSpec job = oneStep(2 + choice, 2 + choice * 2, Milliseconds(400 + choice * 900), choice % 2 == 0);
            std::size_t instance = 0;
            while (cluster_.instances[instance]->timers.killed)
                ++instance;
            const auto response = cluster_.submit(queues[choice], id, job, instance, Milliseconds(1500));
            if (response.outcome == AdmissionOutcome::Accepted)
                accepted_.push_back(id);
        }

        // Loses this share of the responses to lists of evacuations.
        void loseLists(double share)
        {
            for (const auto& instance : cluster_.instances) {
                instance->faultyStore.faultFor = [this, share](StoreCall call, const std::string& key) {
                    const bool lost = call == StoreCall::List && key == SimCatalog().evacuationPrefix()
                        && std::uniform_real_distribution<>(0, 1)(random_) < share;
                    return lost ? CallFault::NoResponse : CallFault::None;
                };
            }
        }

        void clearFaults()
        {
            cluster_.store.mode = SimStore::Mode::Up;
            cluster_.fleet.delayedCommandShare = 0;
            for (const auto& instance : cluster_.instances) {
                instance->store.disconnected = false;
                instance->faultyStore.faultFor = nullptr;
            }
        }

        SimCluster cluster_;
        std::mt19937 random_ { 3 };
        int submitted_ = 0;
        std::vector<std::string> accepted_;
    };

} // namespace

// Guards against a start in an evacuated domain, and against work that is lost around an evacuation, under any sequence
// of requests, revocations and faults of the store, of owners and of commands.
TEST_CASE("no task starts in an evacuated domain under any sequence of faults")
{
    rc::prop("evacuations hold", [] {
        const auto events = *rc::gen::container<std::vector<Event>>(genEvent());
        Scenario scenario;
        for (const Event& event : events)
            scenario.happen(event);
        scenario.finish();
    });
}

} // namespace rosemarylink::jobs
