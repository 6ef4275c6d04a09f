#pragma once

#include "EdgeInstance.h"
#include "PlatformServers.h"
#include "Proxy.h"
#include "SimCluster.h"
#include "rosemarylink/reactor/LoopHttpClient.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::soak {

struct SoakOptions {
    std::string binary; // path of rosemarylink-edge
    std::string directory; // for settings and logs
    std::uint64_t seed = 1;
    int instances = 4;
    int workers = 8;
    Milliseconds faults { 12000 }; // how long faults are injected
    Milliseconds workerLease { 6000 }; // the longest lease of a worker's runs
    Milliseconds registrationLife { 4500 }; // a registration is removed this long after its worker's last heartbeat
    int cutOneIn = 4; // one in so many workers is cut off at a time
    bool cutsOnly = false; // injects nothing but cuts of workers, late answers and the faults in `with`
    std::vector<std::string> with; // names of faults during cuts; without cutsOnly all are injected
};

// Runs processes of rosemarylink-edge against a simulated platform, injects faults and checks the results that callers
// and workers observe. The seed determines the sequence of faults and jobs; their effects depend on real time.
class Soak {
public:
    explicit Soak(const SoakOptions&);
    ~Soak();

    // Runs to the end and returns a description of each violation; empty if there was none.
    std::vector<std::string> run();

    // Counts of jobs and injected faults as "key=value" pairs.
    std::string summary() const;

private:
    // The state of a job as its caller knows it.
    struct CallerJob {
        std::string queue;
        std::string body;
        int attempts = 0;
        bool accepted = false;
        bool submissionEnded = false; // no further attempt follows
        bool mayHaveRun = false; // an attempt had no definite answer
        Milliseconds acceptedAt { 0 };
        bool cancelSent = false;
        std::optional<Milliseconds> cancelledAt;
        int startsAtCancelBound = -1; // task starts counted when cancelBound had passed; -1 before
        std::string state; // as last returned by a query
    };
    struct SimulatedWorker {
        std::unique_ptr<jobs::SimWorkerClient> client;
        std::unique_ptr<reactor::LoopHttpServer> server;
        std::unique_ptr<ProxyGroup> proxy; // with a path for each instance
    };

    using Random = std::mt19937_64;
    // A period in which workers are cut off, with the random numbers of the fault that is injected into it.
    struct CutPeriod {
        Random& random;
        std::set<WorkerId> workers;
        Milliseconds duration;
    };
    // A fault that is injected while workers are cut off. Each draws from its own random numbers, so that the sequences
    // of seeds stay as they are when others are added.
    struct CutFault {
        const char* name;
        void (Soak::*inject)(const CutPeriod&);
        int perCut; // how often it is injected into a period
        Random random;
    };

    void storeConfiguration();
    void publishWorker(const WorkerId&);
    std::string valueFor(std::size_t instance, const jobs::Record&);
    void advanceSimulation();
    void checkProcesses();
    void scheduleRestart(EdgeInstance&, Milliseconds);

    void submitNext();
    void add(const std::string& id, const std::string& queue, jobs::JobSpec);
    void submit(const std::string& id);
    void handleSubmissionReply(const std::string& id, const Result<reactor::ClientResponse>&);
    void queryNext();
    void query(const std::string& id);
    void handleStateReply(const std::string& id, const Result<reactor::ClientResponse>&);
    void cancel(const std::string& id);
    reactor::ClientRequest request(const std::string& method, const std::string& target, const std::string& body) const;

    void injectNext();
    void injectProcessFault(int kind);
    template <typename Link> void injectProxyFault(Link&); // a Proxy or a ProxyGroup
    void injectStoreFault(int kind);
    void injectWorkerFault(int kind);
    void cutOffNext();
    void cutOff(const WorkerId&, bool resets, Milliseconds duration);
    void injectDuringCut(const std::set<WorkerId>& cut, Milliseconds duration);
    void injectOwnershipFault(const CutPeriod&);
    void injectRebirths(const CutPeriod&);
    void injectLittleProcessorTime(const CutPeriod&);
    void pauseWorkers(const CutPeriod&);
    void suspendLinks(const CutPeriod&);
    void loseOwnershipWithUnsavedEnds(const CutPeriod&);
    void splitFleet(const CutPeriod&);
    void cutPath(std::size_t instance, const WorkerId&, Milliseconds duration);
    void runInSlices(EdgeInstance&, Milliseconds until, Milliseconds stopped, Milliseconds running);
    EdgeInstance* findOwner();
    Proxy& storeLinkOf(const EdgeInstance&);
    void holdLink(Proxy&, Milliseconds duration);
    void delayAnswersNext();
    void submitLongNext();
    void endFaults();
    void pollUntilDone();
    void checkAtEnd();

    Milliseconds now() const { return clock_.monotonic(); }
    static int randomIndex(Random& random, int count) { return std::uniform_int_distribution<>(0, count - 1)(random); }
    static Milliseconds randomDuration(Random& random, int from, int to)
    {
        return Milliseconds(std::uniform_int_distribution<>(from, to)(random));
    }
    void schedule(Milliseconds delay, const std::function<void()>& task) { loop_.after(delay, task); }
    void addViolation(const std::string& text);

    SoakOptions options_;
    std::mt19937_64 faultRandom_;
    std::mt19937_64 loadRandom_;
    // For the faults that were added later, so that the sequences of the seeds before stay as they are.
    std::mt19937_64 cutRandom_;
    std::vector<CutFault> cutFaults_;
    std::mt19937_64 random_; // for choices that depend on real time
    SystemClock clock_;
    reactor::EventLoop loop_;
    reactor::LoopHttpClient callers_;
    jobs::SimWorld world_;
    jobs::SimStore store_;
    jobs::SimStoreClient storeClient_;
    WriteFault writeFault_;
    jobs::SimFleet fleet_;
    Milliseconds simulatedUntil_ { 0 };
    std::vector<std::unique_ptr<reactor::LoopHttpServer>> storeServers_; // one for each instance
    std::map<WorkerId, SimulatedWorker> workers_;
    std::vector<std::unique_ptr<Proxy>> storeProxies_; // one for each instance
    std::vector<std::unique_ptr<EdgeInstance>> instances_;
    std::set<EdgeInstance*> restarting_;
    std::map<std::string, CallerJob> jobs_;
    std::vector<std::string> violations_;
    std::map<std::string, int> faultCounts_; // injected faults by name
    Milliseconds startedAt_ { 0 };
    Milliseconds settleDeadline_ { 0 };
    Milliseconds splitUntil_ { 0 };
    std::int64_t version_ = 0;
    bool faultInjectionEnded_ = false;
};

} // namespace rosemarylink::soak
