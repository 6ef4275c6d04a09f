#pragma once

#include "Store.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lab {

// What was sent, answered and run, with seconds since the start of the record. Can be used on all threads.
class Record {
public:
    explicit Record(const std::string& path);
    void add(const std::string& line);
    std::int64_t now() const { return monotonicMs() - startedAt_; }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t startedAt_ = monotonicMs();
};

// When a worker began a run and how that ended.
struct RunNote {
    std::string task;
    int run = 0;
    std::string worker;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0; // 0 while it runs
    std::string end; // as listed; "crash" if it was lost with its worker
};

// All runs of all workers. Can be used on all threads.
class RunLog {
public:
    void noteStart(const RunNote&);
    void noteEnd(const std::string& task, int run, const std::string& worker, const std::string& end);
    std::vector<RunNote> all();
    // Whether a run of a task of the job has started.
    bool hasBegun(const std::string& job);
    // Whether a run of a task of the job is going on.
    bool isRunning(const std::string& job);

private:
    std::mutex mutex_;
    std::vector<RunNote> notes_;
};

// A worker that guards its capacity. A task's payload says what the worker cannot know from the order: how long the
// task works ("work=MILLISECONDS"), the accelerators that it needs ("gpu=NUMBER", otherwise 1), the size of its gang
// ("gang=NUMBER"; all members have to be on one worker), that its first run fails by its own fault ("fail-first", or
// "fail-index=NUMBER" for one task of the step), and that its other runs last until they are stopped ("lasting").
class Worker {
public:
    Worker(Store&, Record&, RunLog&, std::string id, std::vector<std::string> labels, std::string service);

    const std::string& id() const { return id_; }
    bool isCut() const { return server_.isCut(); }

    // Cuts the worker off from all instances, or ends that. It runs on and reaches the store.
    void setCut(bool cut);
    // Power is lost for good: what runs is gone, and the worker is silent from now on.
    void losePower();
    // Crashes, is silent for the time and starts again under its id. What ran is gone.
    void crash(std::int64_t downMs);

    // Leaves the starts of a job's tasks unanswered and carries them out after the delay, unless a crash comes before.
    void leaveUnanswered(const std::string& job, std::int64_t delayMs);
    // When the first start was left unanswered since the worker has started; 0 if none was.
    std::int64_t unansweredSince() const { return unansweredSince_; }

    static constexpr int accelerators = 8;

private:
    struct Run {
        int number = 0;
        int accelerators = 0;
        int gang = 1; // number of members
        std::int64_t workMs = 0;
        bool fails = false;
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0; // 0 while members of its gang are missing
        std::int64_t stoppedAt = 0; // when a stop is over; 0 if it is not being stopped
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
    };

    Response handle(const Request&);
    Response start(const std::string& body);
    Response carryOutStart(const std::string& body);
    Response stop(const std::string& body);
    Response hold(const std::string& body);
    Response refusal(const std::string& reason) const;
    bool takeFence(std::int64_t token);
    void finish(const std::string& task, const std::string& how);
    std::int64_t clock() const { return monotonicMs() - bootedAt_; }
    void beginGangs();
    void tick();
    void beat();

    Store& store_;
    Record& record_;
    RunLog& log_;
    std::string id_;
    std::vector<std::string> labels_;
    std::string service_;
    std::int64_t bootedAt_ = monotonicMs();
    std::int64_t born_ = wallMs();
    std::mutex mutex_;
    std::condition_variable ended_;
    std::map<std::string, Run> runs_;
    std::map<std::string, int> over_; // highest run of a task that was stopped or has ended here
    std::vector<End> ends_;
    std::int64_t lastEnd_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t deadline_ = 0;
    std::int64_t sequence_ = 0;
    std::atomic<bool> dark_ { false };
    std::atomic<int> life_ { 0 };
    std::string unansweredJob_;
    std::int64_t unansweredDelayMs_ = 0;
    std::atomic<std::int64_t> unansweredSince_ { 0 };
    HttpServer server_;
};

} // namespace lab
