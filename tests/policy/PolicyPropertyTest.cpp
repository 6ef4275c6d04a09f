#include "FakeCluster.h"

#include "DefaultPolicy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>

namespace rosemarylink::policy {
namespace {

    using namespace testing;
    using internal::DefaultPolicy;
    using internal::GuaranteedSlot;

    constexpr int racks = 3;
    constexpr int workersPerRack = 4;

    std::unique_ptr<DefaultPolicy> makeGuaranteedPolicy(const std::vector<model::WorkerSpec>& workers)
    {
        auto policy = std::make_unique<DefaultPolicy>();
        for (const model::WorkerSpec& worker : workers)
            policy->addWorker(worker, at(0)).value();
        policy->configure(makeGuaranteedConfig(1), at(0)).value();
        return policy;
    }

    model::JobSpec randomJob(int number)
    {
        using model::Adjacency;
        model::JobSpec job
            = makeJob("job-" + std::to_string(number), *rc::gen::element<std::int64_t>(1, 2, 4, 8, 16, 32),
                *rc::gen::element(Adjacency::Worker, Adjacency::Rack, Adjacency::NeighbouringRacks, Adjacency::Region));
        job.account = AccountId(*rc::gen::element<std::string>("moves", "quotes"));
        job.kind = KindId(*rc::gen::element<std::string>("sorting", "matching"));
        job.idempotent = *rc::gen::arbitrary<bool>();
        job.checkpointable = *rc::gen::arbitrary<bool>();
        job.urgent = *rc::gen::inRange(0, 8) == 0;
        job.declaredRunTime = Milliseconds(*rc::gen::element(10000, 600000, 36000000));
        return job;
    }

    template <typename Ids> JobId pick(const Ids& ids)
    {
        auto next = ids.begin();
        std::advance(next, *rc::gen::inRange<std::size_t>(0, ids.size()));
        return *next;
    }

    std::vector<JobId> runningJobs(const FakeCluster& cluster)
    {
        std::vector<JobId> ids;
        for (const auto& [id, gang] : cluster.running())
            ids.push_back(id);
        return ids;
    }

    class RandomRun {
    public:
        RandomRun()
            : workers(makeWorkers(racks, workersPerRack))
            , policy(makeGuaranteedPolicy(workers))
            , cluster(*policy, workers)
        {
        }

        void step(bool withFailures)
        {
            now += Milliseconds(*rc::gen::element(0, 100, 5000, 60000, 3600000));
            const int action = *rc::gen::inRange(0, withFailures ? 10 : 7);
            const std::vector<JobId> running = runningJobs(cluster);
            if (action <= 2)
                cluster.submit(randomJob(nextJob++), now);
            else if (action == 3 && !running.empty())
                cluster.end(pick(running), GangOutcome::Completed, now);
            else if (action == 4 && !cluster.waiting().empty())
                cluster.cancel(pick(cluster.waiting()), now);
            else if (action == 5)
                configure();
            else if (action == 6)
                cluster.settle(now);
            else if (action == 7 && !running.empty())
                cluster.end(pick(running), *rc::gen::element(GangOutcome::LaunchRefused, GangOutcome::WorkerLost), now);
            else if (action == 8 && !running.empty())
                fail(pick(running));
            else if (action == 9)
                changeWorker();
            cluster.decide(now);
        }

        void configure()
        {
            PolicyConfig config = makeGuaranteedConfig(++version);
            config.declarations.preset
                = *rc::gen::element(model::Preset::Ordinary, model::Preset::Peak, model::Preset::Maintenance);
            if (*rc::gen::inRange(0, 4) == 0)
                config.declarations.guarantees.pop_back();
            RC_ASSERT(cluster.configure(config, now).has_value());
        }

        void fail(const JobId& id)
        {
            policy->taskFailed(id, cluster.running().at(id).placement.workers.front(), now);
            cluster.end(id, GangOutcome::Failed, now);
        }

        void changeWorker()
        {
            const WorkerId id = workers[*rc::gen::inRange<std::size_t>(0, workers.size())].id;
            cluster.setState(id,
                *rc::gen::element(
                    model::ResourceState::Ready, model::ResourceState::Lost, model::ResourceState::Leaving),
                now);
        }

        // Checks that every slot has a placement for its whole gang or none, and that all slots and dedicated work fit
        // on the ready workers at the same time.
        void checkSlots() const
        {
            const auto& slots = policy->guaranteedSlots();
            for (int worker = 0; worker < static_cast<int>(workers.size()); ++worker) {
                const bool ready = cluster.workers().at(workers[static_cast<std::size_t>(worker)].id).state
                    == model::ResourceState::Ready;
                RC_ASSERT(!ready || slots.unguaranteed().free(worker).covers({}));
            }
            for (const GuaranteedSlot& slot : slots.slots()) {
                RC_ASSERT(
                    slot.placement.empty() || static_cast<std::int64_t>(slot.placement.size()) == slot.gang.tasks);
                for (const auto& [worker, remaining] : slot.remaining)
                    RC_ASSERT(remaining.covers({}));
            }
        }

        std::vector<model::WorkerSpec> workers;
        std::unique_ptr<DefaultPolicy> policy;
        FakeCluster cluster;
        Timestamp now = at(0);
        int nextJob = 0;
        std::int64_t version = 1;
    };

    std::string joined(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const std::string& line : lines)
            text += line + "\n";
        return text;
    }

    TEST_CASE("gangs are complete, adjacent and within capacity in any order of events")
    {
        rc::prop("no violation", [] {
            RandomRun run;
            const int steps = *rc::gen::inRange(1, 80);
            for (int step = 0; step < steps; ++step) {
                run.step(true);
                if (!run.cluster.violations().empty())
                    RC_FAIL(joined(run.cluster.violations()));
            }
        });
    }

    TEST_CASE("placements of all guaranteed slots fit at the same time while capacity is borrowed")
    {
        rc::prop("slots fit", [] {
            RandomRun run;
            const int steps = *rc::gen::inRange(1, 80);
            for (int step = 0; step < steps; ++step) {
                run.step(false);
                run.checkSlots();
            }
        });
    }

    TEST_CASE("all idle guaranteed slots can be reclaimed at the same time")
    {
        rc::prop("a gang starts in every idle slot after stops of borrowed work only", [] {
            RandomRun run;
            const int steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step)
                run.step(false);
            const std::set<JobId> waiting = run.cluster.waiting();
            for (const JobId& id : waiting)
                run.cluster.cancel(id, run.now);
            run.cluster.settle(run.now);
            std::vector<JobId> slotJobs;
            const std::vector<GuaranteedSlot> slots = run.policy->guaranteedSlots().slots();
            for (const GuaranteedSlot& slot : slots) {
                if (slot.jobCount > 0)
                    continue;
                model::JobSpec job
                    = makeJob("owner-" + std::to_string(slotJobs.size()), slot.gang.tasks, slot.declared.adjacency);
                job.account = slot.declared.account;
                job.idempotent = false;
                job.checkpointable = false;
                RC_ASSERT(run.cluster.submit(job, run.now));
                slotJobs.push_back(job.id);
            }
            run.cluster.settle(run.now);
            for (const JobId& id : slotJobs)
                RC_ASSERT(run.cluster.isRunning(id));
        });
    }

    TEST_CASE("all capacity is free again after starts, stops, failures and cancellations")
    {
        rc::prop("all accelerators are free again at the end", [] {
            RandomRun run;
            const int steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step)
                run.step(true);
            for (const model::WorkerSpec& worker : run.workers)
                run.cluster.setState(worker.id, model::ResourceState::Ready, run.now);
            const std::set<JobId> waiting = run.cluster.waiting();
            for (const JobId& id : waiting)
                run.cluster.cancel(id, run.now);
            for (const JobId& id : runningJobs(run.cluster)) {
                run.policy->cancel(id, run.now);
                run.cluster.end(id, GangOutcome::Completed, run.now);
            }
            run.cluster.settle(run.now);
            const PolicySnapshot snapshot = run.policy->snapshot(run.now);
            const auto quarantined = static_cast<std::int64_t>(snapshot.quarantined.size());
            RC_ASSERT(snapshot.freeAccelerators.value() == racks * workersPerRack * 8 - 8 * quarantined);
            for (const AccountStatus& account : snapshot.accounts) {
                RC_ASSERT(account.acceleratorsInUse.value() == 0);
                RC_ASSERT(account.acceleratorsBorrowed.value() == 0);
            }
        });
    }

    TEST_CASE("a large gang starts within a bounded time despite a stream of small jobs with wrong run times")
    {
        // Small jobs run for at most 600 s. Work is stopped for the gang once its wait reaches four times the cost of
        // the stops, each of which costs at most 600 s of work and 5 s of overhead. One more run covers jobs that start
        // before that.
        constexpr std::int64_t boundSeconds = 4 * 605 + 600;
        rc::prop("bound holds", [] {
            const auto workers = makeWorkers(racks, workersPerRack);
            auto policy = std::make_unique<DefaultPolicy>();
            for (const model::WorkerSpec& worker : workers)
                policy->addWorker(worker, at(0)).value();
            policy->configure(makeConfig(1), at(0)).value();
            FakeCluster cluster(*policy, workers);
            std::multimap<std::int64_t, JobId> ends;
            model::JobSpec gang = makeJob("gang", 32, model::Adjacency::Rack);
            int number = 0;
            for (std::int64_t second = 0; second <= 600 + boundSeconds && !cluster.isRunning(gang.id); second += 20) {
                if (second == 600)
                    cluster.submit(gang, at(second));
                for (int count = 0; count < 4; ++count) {
                    model::JobSpec job = makeJob("small-" + std::to_string(number++), 4, model::Adjacency::Worker);
                    job.account = AccountId("quotes");
                    job.checkpointable = false;
                    const std::int64_t run = *rc::gen::inRange<std::int64_t>(60, 600);
                    job.declaredRunTime = Milliseconds(run * *rc::gen::element(100, 1000, 10000));
                    cluster.submit(job, at(second));
                    ends.emplace(second + run, job.id);
                }
                for (auto next = ends.begin(); next != ends.end() && next->first <= second;) {
                    // A job that has not started yet, or is stopping, is checked again after 60 s.
                    if (cluster.isRunning(next->second) && !cluster.running().at(next->second).stopping)
                        cluster.end(next->second, GangOutcome::Completed, at(second));
                    else
                        ends.emplace(second + 60, next->second);
                    next = ends.erase(next);
                }
                cluster.settle(at(second));
            }
            RC_ASSERT(cluster.isRunning(gang.id));
        });
    }

} // namespace
} // namespace rosemarylink::policy
