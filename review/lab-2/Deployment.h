#pragma once

#include "Store.h"
#include "Worker.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lab {

// A process of the program under test, started as the deploy file starts it.
class Edge {
public:
    Edge(int number, const std::string& directory, const std::string& storeAddress);
    ~Edge();
    Edge(const Edge&) = delete;
    Edge& operator=(const Edge&) = delete;

    void start();
    void signal(int number) const;
    // Whether the process has ended by itself or after a signal.
    bool hasEnded();
    // Kills the process and waits for its end.
    void kill();

    const std::string& address() const { return callers_; }
    const std::string& name() const { return name_; }
    // Resident memory of the process; 0 if it has none.
    int memoryMb() const;
    bool isReady() const;
    // Whether the process says that it owns the scheduling; for the choice of the process that a disruption affects.
    bool isOwner() const;

private:
    std::string name_;
    std::string directory_;
    std::string callers_;
    std::string readiness_;
    std::string metrics_;
    pid_t process_ = 0;
};

// Arguments of a case: DIRECTORY for settings and logs, the file of the record, and TROUBLE from the environment.
struct CaseArguments {
    std::string directory;
    std::string record;
    bool trouble = true;
};
CaseArguments parseArguments(int argc, char** argv);

// Exit codes of a case.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

// A small deployment on loopback addresses: a store, workers and processes of the program under test.
class Deployment {
public:
    // The last `otherWorkers` of the workers are of kind "b", the others of kind "a".
    Deployment(const CaseArguments&, int edges, int workers, int otherWorkers = 0);

    Store& store() { return store_; }
    Record& record() { return record_; }
    RunLog& runs() { return runs_; }
    Edge& edge(std::size_t number) { return *edges_.at(number); }
    std::size_t edges() const { return edges_.size(); }
    Worker& worker(std::size_t number) { return *workers_.at(number); }
    std::size_t workers() const { return workers_.size(); }

    // Starts the processes and waits until all of them serve. Returns false if they do not.
    bool start();

    // Ends all processes that were started, and this one with the exit code.
    [[noreturn]] void leave(int code);

    // The calls of a client. Each returns the status, or 0 if there is no answer in time, and notes both.
    int submit(std::size_t edge, const std::string& job, int tasks, int workMs);
    int submit(std::size_t edge, const std::string& job, const std::string& payload, const std::string& steps);
    int submitBody(std::size_t edge, const std::string& job, const std::string& body);
    int cancel(std::size_t edge, const std::string& job);
    std::string state(std::size_t edge, const std::string& job); // empty if it is not shown
    std::optional<int> pending(std::size_t edge);

    // Waits until each of the jobs is shown in a final state. Returns false after the time.
    bool waitForEnd(const std::vector<std::string>& jobs, int timeoutMs);

    static constexpr int callerDeadlineMs = 3000;

private:
    std::optional<Response> call(
        std::size_t edge, const std::string& method, const std::string& path, const std::string& body);

    Record record_;
    RunLog runs_;
    Store store_;
    std::vector<std::unique_ptr<HttpServer>> storeServers_; // one for each process
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<std::unique_ptr<Edge>> edges_;
};

// A job id: 16 hexadecimal digits.
std::string jobId(int number);

} // namespace lab
