#include "MembershipFakes.h"

#include "rosemarylink/state/AuditLog.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rosemarylink::state {
namespace {

    using namespace fakes;

    enum class Fault {
        None, // a change without a fault
        LoseReply,
        LoseRequest,
        LoseReplyThenDown,
        LoseRequestThenDown,
        SlowStore,
        CrashAfterStoring, // the gateway crashes after storing the version and before announcing it
        Race, // another gateway's change comes between reading and writing
        StoreDown,
        StoreUp,
        StoreDownForOne,
        Partition,
        Heal,
        Pause,
        Resume,
        Silence,
        Speak,
        Restart,
        Replace,
        Wait,
        Last = Wait,
    };

    struct Step {
        Fault fault = Fault::None;
        int instance = 0;
        int number = 0;
    };

    std::ostream& operator<<(std::ostream& out, const Step& step)
    {
        return out << "{" << static_cast<int>(step.fault) << ", " << step.instance << ", " << step.number << "}";
    }

    rc::Gen<Step> anyStep()
    {
        return rc::gen::build<Step>(rc::gen::set(&Step::fault,
                                        rc::gen::map(rc::gen::inRange(0, static_cast<int>(Fault::Last) + 1),
                                            [](int fault) { return static_cast<Fault>(fault); })),
            rc::gen::set(&Step::instance, rc::gen::inRange(0, 6)),
            rc::gen::set(&Step::number, rc::gen::inRange(0, 40)));
    }

    // Runs one schedule on a fleet whose record is nearly full, so that audit pages are written during the schedule.
    class Schedule {
    public:
        explicit Schedule(int before)
        {
            for (int version = 1; version <= before; ++version)
                change(fleet_.at(0), version);
            fleet_.step(Milliseconds(2000));
        }

        void apply(const Step& step)
        {
            auto position = fleet_.instances.begin();
            std::advance(position, step.instance % static_cast<int>(fleet_.instances.size()));
            FakeInstance& instance = *position->second;
            if (step.fault <= Fault::Race)
                applyChange(instance, step);
            else
                applyFault(instance, step);
            fleet_.step(Milliseconds(250 * (1 + step.number % 8)));
            checkCoverage();
        }

        // Ends all faults and checks the invariants that must hold afterwards.
        void finish()
        {
            fleet_.setStoreDown(false);
            fleet_.partitioned = false;
            for (auto& [id, instance] : fleet_.instances) {
                instance->paused = false;
                instance->silent = false;
                clearFaults(*instance);
            }
            fleet_.step(Milliseconds(500));
            for (const ConfigProposal& proposal : unknown_)
                propose(*fleet_.instances.begin()->second, proposal);
            const auto record = fleet_.instances.begin()->second->store.read().value();
            RC_ASSERT(record.has_value());
            RC_ASSERT(record->version >= fleet_.highestAccepted());
            fleet_.timeUntilEverywhere(record->version, Milliseconds(8000));
            RC_ASSERT(fleet_.everywhere(record->version));
            for (const auto& [id, instance] : fleet_.instances)
                RC_ASSERT(instance->agent.config().version() == record->version);
            checkAudit(record->version);
            if (!fleet_.faults.empty())
                RC_FAIL(fleet_.faults.front());
        }

    private:
        void applyChange(FakeInstance& instance, const Step& step)
        {
            clearFaults(instance);
            FakeStoreClient& storeClient = instance.storeClient;
            const int write = storeClient.writes + 1 + step.number % 2;
            if (step.fault == Fault::LoseReply || step.fault == Fault::LoseReplyThenDown)
                storeClient.loseReplyAtWrite = write;
            if (step.fault == Fault::LoseRequest || step.fault == Fault::LoseRequestThenDown)
                storeClient.loseRequestAtWrite = write;
            storeClient.downAfterLoss
                = step.fault == Fault::LoseReplyThenDown || step.fault == Fault::LoseRequestThenDown;
            if (step.fault == Fault::SlowStore)
                storeClient.before = [&storeClient](const std::string& operation) {
                    storeClient.delay = Milliseconds(operation == "compareAndSwap" ? 2000 : 0);
                };
            if (step.fault == Fault::Race)
                raceWith(instance, step);
            if (step.fault == Fault::CrashAfterStoring)
                storeAndCrash(instance, step);
            else
                change(instance, step.number);
            if (step.fault == Fault::Race)
                instance.storeClient.before = nullptr; // the other gateway may be gone by the next write
        }

        void storeAndCrash(FakeInstance& instance, const Step& step)
        {
            const InstanceId id = instance.id;
            const int part = instance.part;
            const auto proposal = next(step.number);
            if (!instance.store.propose(proposal))
                unknown_.push_back(proposal);
            fleet_.kill(id);
            fleet_.start(id, part);
        }

        void raceWith(FakeInstance& instance, const Step& step)
        {
            FakeInstance* other = fleet_.instances.rbegin()->second.get();
            if (other == &instance)
                other = fleet_.instances.begin()->second.get();
            instance.storeClient.before = [this, other, step, raced = false](const std::string& operation) mutable {
                if (operation != "compareAndSwap" || raced)
                    return;
                raced = true;
                change(*other, step.number + 1);
            };
        }

        static void clearFaults(FakeInstance& instance)
        {
            instance.storeClient.before = nullptr;
            instance.storeClient.delay = Milliseconds(0);
            instance.storeClient.loseReplyAtWrite = 0;
            instance.storeClient.loseRequestAtWrite = 0;
            instance.storeClient.downAfterLoss = false;
        }

        void applyFault(FakeInstance& instance, const Step& step)
        {
            switch (step.fault) {
            case Fault::StoreDown:
            case Fault::StoreUp:
                fleet_.setStoreDown(step.fault == Fault::StoreDown);
                return;
            case Fault::StoreDownForOne:
                instance.storeClient.down = true;
                return;
            case Fault::Partition:
            case Fault::Heal:
                fleet_.partitioned = step.fault == Fault::Partition;
                return;
            case Fault::Pause:
            case Fault::Resume:
                instance.paused = step.fault == Fault::Pause;
                return;
            case Fault::Silence:
            case Fault::Speak:
                instance.silent = step.fault == Fault::Silence;
                return;
            case Fault::Restart:
            case Fault::Replace:
                restart(instance, step.fault == Fault::Replace);
                return;
            default:
                fleet_.step(Milliseconds(500 * step.number));
            }
        }

        void restart(const FakeInstance& instance, bool newId)
        {
            const InstanceId id = instance.id;
            const int part = instance.part;
            fleet_.kill(id);
            if (newId)
                fleet_.listed.erase(id);
            fleet_.start(newId ? InstanceId("replacement-" + std::to_string(++replacements_)) : id, part);
        }

        ConfigProposal next(int number)
        {
            return makeProposal(
                fleet_.highestAccepted(), number, "alice", "operation-" + std::to_string(++operations_));
        }

        void change(FakeInstance& instance, int number) { propose(instance, next(number)); }

        void propose(FakeInstance& instance, const ConfigProposal& proposal)
        {
            ConfigProposal based = proposal;
            // Another change may have been stored although its reply was lost.
            if (const auto seen = instance.agent.config().version(); seen > based.expected)
                based.expected = seen;
            const auto outcome = fleet_.propose(instance, based);
            if (!outcome && outcome.error().verdict == Verdict::MayHaveRun)
                unknown_.push_back(based);
        }

        // No live instance may count as up to date with a lower version than one that is reported in force everywhere.
        void checkCoverage()
        {
            const ConfigVersion version = fleet_.highestAccepted();
            for (const auto& [reporterId, reporter] : fleet_.instances) {
                if (reporter->paused || !reporter->agent.coverage(version).everywhere)
                    continue;
                for (const auto& [id, instance] : fleet_.instances) {
                    const auto member = reporter->agent.membership().member(id);
                    const bool counted = !member || member->live();
                    const bool working = !instance->paused && instance->agent.upToDate();
                    if (counted && working && instance->agent.config().version() < version)
                        RC_FAIL(reporterId.value() + " calls version " + std::to_string(version.value())
                            + " in force everywhere, but " + id.value() + " works under an earlier one");
                }
            }
        }

        void checkAudit(ConfigVersion last)
        {
            AuditLog audit(fleet_.instances.begin()->second->storeClient);
            AuditFilter filter;
            filter.limit = 100000;
            const auto entries = audit.read(filter).value();
            RC_ASSERT(entries.size() == static_cast<std::size_t>(last.value()));
            std::set<OperationId> operations;
            ConfigVersion expected = last;
            for (const auto& entry : entries) {
                RC_ASSERT(entry.toVersion == expected);
                RC_ASSERT(entry.fromVersion == expected - ConfigVersion(1));
                RC_ASSERT(operations.insert(entry.operation).second); // no change was stored twice
                const auto accepted = fleet_.accepted.find(entry.toVersion);
                if (accepted != fleet_.accepted.end())
                    RC_ASSERT(accepted->second == entry.operation);
                expected = expected - ConfigVersion(1);
            }
        }

        FakeFleet fleet_ { 5 };
        std::vector<ConfigProposal> unknown_;
        int operations_ = 0;
        int replacements_ = 0;
    };

    // Applies concurrent changes, lost requests and replies, store outages, crashed, paused, silent and replaced
    // instances, and partitions in random order. Versions must not revert, each version must have one accepted change
    // and one content, every accepted version must have an audit entry, and all instances must have the latest version
    // within 8 s after the faults end.
    TEST_CASE("configuration invariants hold under random fault schedules")
    {
        rc::prop("configuration under faults", [] {
            const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
            const int before = *rc::gen::element(1, 125, 127, 128);
            Schedule schedule(before);
            for (const Step& step : steps)
                schedule.apply(step);
            schedule.finish();
        });
    }

} // namespace
} // namespace rosemarylink::state
