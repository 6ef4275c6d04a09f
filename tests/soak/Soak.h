#pragma once

#include "EdgeInstance.h"
#include "PlatformFront.h"
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
    std::string binary; // of rosemarylink-edge
    std::string directory; // for settings and logs
    std::uint64_t seed = 1;
    int instances = 4;
    int workers = 8;
    Milliseconds faults { 12000 }; // how long faults are injected
};

// Runs real processes against a stand-in of the platform, injects faults from outside and checks what callers and
// workers see. The sequence of faults and jobs follows from the seed; their effects depend on real time.
class Soak {
public:
    explicit Soak(const SoakOptions&);
    ~Soak();

    // Promises that were broken, in words; empty when all were kept.
    std::vector<std::string> run();

    std::string summary() const;

private:
    // What the callers know of a job.
    struct CallerJob {
        std::string queue;
        std::string body;
        int tries = 0;
        bool accepted = false;
        bool over = false; // no further try of its submission
        bool mayHaveRun = false; // a try had no answer
        Milliseconds acceptedAt { 0 };
        bool cancelSent = false;
        std::optional<Milliseconds> cancelledAt;
        int startsAtCancel = -1; // counted when nothing may start any more
        std::string state; // as last shown
    };
    struct Member {
        std::unique_ptr<jobs::SimWorkerClient> client;
        std::unique_ptr<reactor::LoopHttpServer> server;
        std::unique_ptr<Proxy> proxy;
    };

    void putConfiguration();
    void publish(const WorkerId&);
    void advanceWorld();
    void watchProcesses();
    void restartLater(EdgeInstance&, Milliseconds);

    void submitNext();
    void submit(const std::string& id);
    void takeSubmission(const std::string& id, const Result<reactor::ClientResponse>&);
    void queryNext();
    void query(const std::string& id);
    void takeState(const std::string& id, const Result<reactor::ClientResponse>&);
    void cancel(const std::string& id);
    reactor::ClientRequest request(const std::string& method, const std::string& target, const std::string& body) const;

    void injectNext();
    void injectProcessFault(int kind);
    void injectLinkFault(Proxy&);
    void injectStoreFault(int kind);
    void injectWorkerFault(int kind);
    void endFaults();
    void pollUntilDone();
    void checkAtEnd();

    Milliseconds now() const { return clock_.monotonic(); }
    using Random = std::mt19937_64;
    static int pick(Random& random, int count) { return std::uniform_int_distribution<>(0, count - 1)(random); }
    static Milliseconds between(Random& random, int from, int to)
    {
        return Milliseconds(std::uniform_int_distribution<>(from, to)(random));
    }
    void later(Milliseconds delay, const std::function<void()>& task) { loop_.after(delay, task); }
    void violate(const std::string& text);

    SoakOptions options_;
    std::mt19937_64 faultRandom_;
    std::mt19937_64 loadRandom_;
    std::mt19937_64 random_; // of all that depends on real time
    SystemClock clock_;
    reactor::EventLoop loop_;
    reactor::LoopHttpClient callers_;
    jobs::SimWorld world_;
    jobs::SimStore store_;
    jobs::SimStoreClient storeClient_;
    jobs::SimFleet fleet_;
    Milliseconds worldAt_ { 0 };
    std::unique_ptr<reactor::LoopHttpServer> storeServer_;
    std::map<WorkerId, Member> workers_;
    std::vector<std::unique_ptr<Proxy>> storeLinks_; // one for each instance
    std::vector<std::unique_ptr<EdgeInstance>> instances_;
    std::set<EdgeInstance*> restarting_;
    std::map<std::string, CallerJob> jobs_;
    std::vector<std::string> violations_;
    std::map<std::string, int> injected_; // faults by name
    Milliseconds startedAt_ { 0 };
    Milliseconds settledBy_ { 0 };
    std::int64_t version_ = 0;
    bool faultsOver_ = false;
};

} // namespace rosemarylink::soak
