// A small deployment for one script: the store, 48 minions and 7 processes of the project in three zones, as on the
// site frescura-hq, and the clients.
#pragma once

#include "Platform.h"

#include <memory>
#include <string>
#include <vector>

namespace lab {

class Script {
public:
    // `folder` gets record.txt; logs and settings go to a temporary folder, which is removed at the end.
    // `storeAddressOf` gives each edge, by its number, the address of the store; by default the store's own.
    explicit Script(const std::string& folder, const std::function<std::string(Script&, int)>& storeAddressOf = {});
    ~Script();

    bool trouble() const { return trouble_; }

    // Runs until all instances are ready and one of them is the owner; false if that takes too long.
    bool awaitReady();

    // The index of the edge that owns the pools by its metrics, or -1. Runs the loop meanwhile.
    int owner();

    struct Answer {
        int status = 0; // 0: none before the deadline, or the connection broke
        std::string body;
        Ms at = 0;
    };
    using Done = std::function<void(const Answer&)>;
    // Sends a client's call, and records it and its answer. `patience` is how long the client waits.
    void call(
        int edge, const std::string& method, const std::string& id, const std::string& body, Ms patience, const Done&);
    void callAs(int edge, const std::string& method, const std::string& path, const std::string& key,
        const std::string& body, Ms patience, const Done&);
    Answer callAndWait(
        int edge, const std::string& method, const std::string& id, const std::string& body, Ms patience);

    // A job of the site's kind of request arrears-sweep or meter-statement: steps of tasks of one accelerator each,
    // every step after the one before.
    static std::string job(const std::vector<int>& tasksOfSteps, Ms estimate);
    std::string newId();

    void runFor(Ms time) { loop.run(now() + time); }

    // Prints the verdict and returns the exit code: 1 if there are breaches.
    int finish(const std::string& rule, const std::vector<std::string>& breaches);
    int cannotRun(const std::string& reason);

    Loop loop;
    Record record;
    Store store;
    Runs runs;
    std::vector<std::unique_ptr<Minion>> minions;
    std::vector<std::unique_ptr<Edge>> edges;

private:
    bool trouble_;
    std::string directory_;
    int lastId_ = 0;
};

} // namespace lab
