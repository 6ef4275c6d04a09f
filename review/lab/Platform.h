// Stand-ins of the platform's store and of minions, as PROTOCOL.md describes them, and the processes under test.
#pragma once

#include "Loop.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <fstream>
#include <list>
#include <optional>
#include <sys/types.h>

namespace lab {

using Json = nlohmann::json;

// The bounds of the site frescura-hq.
constexpr Ms heartbeatMs = 1500;
constexpr Ms holdMaxMs = 6000;
constexpr Ms stopMs = 400;
constexpr Ms cancelMs = 3000;
constexpr Ms storeAnswerMs = 4;
constexpr int historySeconds = 20;

// Writes record.txt; times are milliseconds since the start of the script.
class Record {
public:
    explicit Record(const std::string& path); // throws if it cannot be written
    void line(const std::string& text);
    Ms time() const { return now() - begin_; }

private:
    std::ofstream out_;
    Ms begin_;
};

class Store {
public:
    // Decides what happens to a call, before it is served: returns true if the call was taken care of. Empty: serves
    // all.
    using Interceptor = std::function<bool(const Message&, const Respond&, const std::function<void()>& serve)>;
    explicit Store(Loop&);
    std::string address() const { return server_.address(); }

    // A further address of the store, whose calls only this interceptor sees. Returns the server, which the store
    // keeps.
    Server& addServer(const Interceptor&);

    void put(const std::string& key, const std::string& value); // as the operator or a minion
    void remove(const std::string& key);
    bool has(const std::string& key) const { return items_.count(key) > 0; }
    std::int64_t revision() const { return revision_; }

    Interceptor interceptor;
    std::function<void(const std::string& key, const std::string& value)> onWrite;

private:
    struct Item {
        std::string value; // base64
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event {
        std::int64_t revision;
        std::string key;
        std::optional<Item> item;
    };
    struct Watcher {
        std::string prefix;
        std::int64_t after;
        Respond respond;
        bool done = false;
    };
    void serve(const Message&, const Respond&);
    void change(const std::string& key, const std::optional<Item>&);
    void notify();
    void expire();
    Json itemJson(const std::string& key, const Item&) const;
    Json events(const std::string& prefix, std::int64_t after) const;

    Loop& loop_;
    std::map<std::string, Item> items_;
    std::deque<Event> history_;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 76000;
    std::map<std::int64_t, std::pair<Ms, Ms>> leases_; // by lease: end and time to live
    std::list<std::shared_ptr<Watcher>> watchers_;
    Server server_;
    std::vector<std::unique_ptr<Server>> furtherServers_;
};

struct Run {
    std::string task;
    int run = 0;
    std::string minion;
    Ms begin = 0;
    Ms end = -1; // -1: still runs
    std::string how;
};

// All runs of all minions, for the checks.
class Runs {
public:
    explicit Runs(Record& record)
        : record_(record)
    {
    }
    std::size_t begin(const std::string& task, int run, const std::string& minion);
    void end(std::size_t index, const std::string& how);
    // Takes note of the end `done` of a task's run, which the system has acknowledged.
    void noteDone(const std::string& task, int run);
    const std::vector<Run>& all() const { return runs_; }
    std::vector<std::string>
        doubles; // breaches of TWICE: two runs of one task at a time, or a start after a noted `done`

private:
    Record& record_;
    std::vector<Run> runs_;
    std::set<std::string> done_;
};

class Minion {
public:
    Minion(Loop&, Store&, Runs&, Record&, std::string id, std::string zone, std::string rack);
    const std::string& id() const { return id_; }
    std::string address() const { return server_.address(); }

    // Cuts the minion off from the store and from all machines of the system; what runs on it goes on.
    void setCutOff(bool);

    // The same for one of the two.
    void setCutOffFromStore(bool cutOff) { cutOff_ = cutOff; }
    void setCutOffFromMachines(bool cutOff) { server_.setCutOff(cutOff); }
    bool isDown() const { return down_; }

    // The process ends with all that it runs. After `downTime` it starts again under its id and knows nothing of
    // before.
    void crash(Ms downTime);

    // How much later than generated a response leaves the minion; responses on different channels may overtake each
    // other.
    static std::function<Ms()> responseDelay;

    // How many of the script's tasks have room on a minion; 8 if each needs one accelerator.
    static int room;

    // How long a task works on a sound minion.
    static std::function<Ms(const std::string& task)> workOf;

private:
    struct Active {
        int run = 0;
        Ms begin = 0;
        Ms due = 0;
        bool stopping = false;
        std::size_t index = 0;
    };
    struct Waiting {
        std::int64_t cursor;
        Respond respond;
        bool done = false;
    };
    void beat();
    void scheduleBeat(Ms delay);
    void startLife();
    void writeEntry();
    void respondLater(const Message&, const Respond&);
    void recordOrder(const Message&, int status, const std::string& answer);
    void serve(const Message&, const Respond&);
    void end(const std::string& task, const std::string& how);
    void check();
    Ms clock() const { return now() - born_ + 1000; }
    std::string report() const;
    void extend(const Json& body);

    Loop& loop_;
    Store& store_;
    Runs& runs_;
    Record& record_;
    std::string id_;
    std::string zone_;
    std::string rack_;
    Ms born_ = 0;
    std::int64_t bornUnix_ = 0;
    std::uint64_t life_ = 0;
    bool down_ = false;
    bool cutOff_ = false;
    Ms lastBeat_ = 0;
    std::int64_t sequence_ = 0;
    std::int64_t fence_ = 0;
    Ms leaseEnd_ = 0; // on the minion's clock
    std::map<std::string, Active> active_;
    std::map<std::string, int> refused_; // highest run that was stopped or has ended
    std::vector<Json> ended_;
    std::int64_t lapsedEnds_ = 0; // ends up to this number were followed by a lapse of the lease
    std::int64_t lastEnd_ = 0;
    std::list<std::shared_ptr<Waiting>> waiting_;
    Server server_;
};

// A process of the project, started with the command of the deploy file.
class Edge {
public:
    Edge(const std::string& name, const std::string& zone, const std::string& storeAddress,
        const std::string& directory);
    ~Edge();
    const std::string& name() const { return name_; }
    int frontend() const { return frontend_; }
    int readiness() const { return readiness_; }
    int metrics() const { return metrics_; }
    void signal(int number) const;
    void start(); // with its settings; also after the process has ended
    bool ended(); // whether the process has ended since it was started
    pid_t pid() const { return pid_; }

private:
    std::string name_;
    int frontend_;
    int readiness_;
    int metrics_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = 0;
};

std::string encodeBase64(const std::string&);
std::string decodeBase64(const std::string&);

} // namespace lab
