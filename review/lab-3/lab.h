// Stand-ins of the platform for the scripts of this review: the store, minions, clients and the processes under test.
// Each follows PROTOCOL.md; a script can hook into the store's calls to change when it acts or what it answers.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Lock = std::unique_lock<std::mutex>;

inline double now() // milliseconds since the start of the script
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline void pause(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(std::max(0.0, ms)));
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// ---- the record of what was sent, answered and run

inline std::FILE*& recordFile()
{
    static std::FILE* file = nullptr;
    return file;
}

inline void note(const char* format, ...)
{
    static std::mutex mutex;
    const Lock lock(mutex);
    va_list arguments;
    va_start(arguments, format);
    std::fprintf(recordFile(), "%10.1f ms  ", now());
    std::vfprintf(recordFile(), format, arguments);
    std::fputc('\n', recordFile());
    std::fflush(recordFile());
    va_end(arguments);
}

// ---- HTTP/1.1 over blocking sockets, one thread a connection

struct Request {
    std::string method, target, body;
    std::map<std::string, std::string> headers; // names in lower case
};

struct Response {
    int status = 200;
    std::string body = "{}";
    bool silent = false; // nothing more is sent on this connection
};

using Handler = std::function<Response(const Request&)>;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

// Reads one message; `first` is the start line. Returns false at the end of the connection or when `deadline` passes.
inline bool readMessage(int fd, std::string& buffer, std::string& first, std::map<std::string, std::string>& headers,
    std::string& body, double deadline)
{
    std::size_t headEnd = std::string::npos, need = 0;
    while (true) {
        if (headEnd == std::string::npos && (headEnd = buffer.find("\r\n\r\n")) != std::string::npos) {
            std::size_t at = buffer.find("\r\n");
            first = buffer.substr(0, at);
            headers.clear();
            while (at < headEnd) {
                const std::size_t next = buffer.find("\r\n", at + 2);
                const std::string line = buffer.substr(at + 2, next - at - 2);
                const std::size_t colon = line.find(':');
                if (colon != std::string::npos) {
                    const std::size_t value = line.find_first_not_of(' ', colon + 1);
                    headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
                }
                at = next;
            }
            const auto length = headers.find("content-length");
            need = headEnd + 4 + (length == headers.end() ? 0 : std::stoul(length->second));
        }
        if (headEnd != std::string::npos && buffer.size() >= need) {
            body = buffer.substr(headEnd + 4, need - headEnd - 4);
            buffer.erase(0, need);
            return true;
        }
        pollfd state { fd, POLLIN, 0 };
        const double left = deadline - now();
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(std::min(left, 1e6)) + 1) <= 0)
            return false;
        char chunk[65536];
        const ssize_t count = ::recv(fd, chunk, sizeof chunk, 0);
        if (count <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
}

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline sockaddr_in socketAddress(const std::string& address)
{
    sockaddr_in target {};
    const std::size_t colon = address.find(':');
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    return target;
}

class Server {
public:
    Server(const std::string& address, Handler handler)
        : handler_(std::move(handler))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in own = socketAddress(address);
        socklen_t length = sizeof own;
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&own), length) != 0 || ::listen(listener_, 256) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&own), &length);
        address_ = address.substr(0, address.find(':') + 1) + std::to_string(ntohs(own.sin_port));
        std::thread([this] { accept(); }).detach();
    }
    const std::string& address() const { return address_; }

private:
    void accept()
    {
        while (true) {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer, first;
        Request request;
        while (readMessage(fd, buffer, first, request.headers, request.body, 1e12)) {
            const std::size_t space = first.find(' ');
            request.method = first.substr(0, space);
            request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
            const Response response = handler_(request);
            if (response.silent) {
                char rest[4096];
                while (::recv(fd, rest, sizeof rest, 0) > 0) { }
                break;
            }
            if (!sendAll(fd,
                    "HTTP/1.1 " + std::to_string(response.status)
                        + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
                break;
        }
        ::close(fd);
    }

    int listener_;
    std::string address_;
    Handler handler_;
};

struct Reply {
    int status = 0; // 0: no complete answer
    std::string body;
    double sentAt = 0, answeredAt = 0;
};

// One request on a connection of its own.
inline Reply call(const std::string& address, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, double timeoutMs = 3000)
{
    Reply reply;
    reply.sentAt = now();
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = socketAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
        std::string head = method + " " + target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : headers)
            head += name + ": " + value + "\r\n";
        if (method == "POST")
            head += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        reply.sentAt = now();
        std::string buffer, first;
        std::map<std::string, std::string> received;
        if (sendAll(fd, head + "\r\n" + body)
            && readMessage(fd, buffer, first, received, reply.body, reply.sentAt + timeoutMs))
            reply.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
    }
    ::close(fd);
    reply.answeredAt = now();
    return reply;
}

// ---- base64 and query strings

inline const std::string& base64Alphabet()
{
    static const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    return alphabet;
}

inline std::string encode64(const std::string& bytes)
{
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t i = 0; i < 3; ++i)
            group = group << 8 | (i < count ? static_cast<unsigned char>(bytes[at + i]) : 0);
        for (std::size_t i = 0; i < 4; ++i)
            out += i <= count ? base64Alphabet()[group >> (18 - 6 * i) & 63] : '=';
    }
    return out;
}

inline std::string decode64(const std::string& text)
{
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t value = base64Alphabet().find(c);
        if (value == std::string::npos)
            break;
        group = group << 6 | static_cast<std::uint32_t>(value);
        if ((bits += 6) >= 8)
            out += static_cast<char>(group >> (bits -= 8) & 255);
    }
    return out;
}

inline std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t next = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const std::size_t equals = pair.find('=');
        std::string value;
        for (std::size_t i = equals + 1; i < pair.size(); ++i) {
            if (pair[i] == '%') {
                value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else
                value += pair[i];
        }
        query[pair.substr(0, equals)] = value;
        at = next;
    }
    return query;
}

// ---- the platform's store

struct StoreCall {
    int node = 0; // the machine that calls
    std::string kind; // "key", "range", "watch", "txn", "lease", "keep", "lease-end"
    const Request* request = nullptr;
};

struct StoreFault {
    int refuse = 0; // this status, and nothing is done
    double executeAfter = 0;
    bool loseAnswer = false;
    double answerAfter = 0;
};

class Store {
public:
    using Hook = std::function<StoreFault(const StoreCall&)>;

    Store()
    {
        std::thread([this] { expireLeases(); }).detach();
    }

    Hook before; // decides on the fault of a call; may be empty
    std::function<void(const StoreCall&, const Response&)> after; // sees each executed call; may be empty

    std::shared_ptr<Server> serve(int node)
    {
        return std::make_shared<Server>(
            "127.0.0.1:0", [this, node](const Request& request) { return handle(node, request); });
    }

    // A write of the operator or of a minion.
    std::int64_t put(const std::string& key, const std::string& value)
    {
        const Lock lock(mutex_);
        return store(key, value, 0);
    }
    void remove(const std::string& key)
    {
        const Lock lock(mutex_);
        erase(key);
    }
    bool has(const std::string& key)
    {
        const Lock lock(mutex_);
        return items_.count(key) > 0;
    }
    std::string value(const std::string& key)
    {
        const Lock lock(mutex_);
        const auto found = items_.find(key);
        return found == items_.end() ? "" : found->second.value;
    }
    // Drops the history, so that earlier watches get 410.
    void compact()
    {
        const Lock lock(mutex_);
        compacted_ = revision_;
        events_.clear();
        changed_.notify_all();
    }

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0, created = 0, lease = 0;
    };
    struct Lease {
        double ttl = 0, endsAt = 0;
    };
    struct Event {
        std::int64_t revision;
        std::string key;
        Json json;
    };

    std::int64_t store(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t at = 0)
    {
        const std::int64_t revision = at ? at : ++revision_;
        Item& item = items_[key];
        item = { value, revision, item.created ? item.created : revision, lease };
        events_.push_back({ revision, key, toJson(key, item) });
        changed_.notify_all();
        return revision;
    }
    void erase(const std::string& key, std::int64_t at = 0)
    {
        if (items_.erase(key) == 0)
            return;
        const std::int64_t revision = at ? at : ++revision_;
        events_.push_back({ revision, key, { { "Key", key }, { "Revision", revision }, { "Deleted", true } } });
        changed_.notify_all();
    }
    static Json toJson(const std::string& key, const Item& item)
    {
        return { { "Key", key }, { "Value", encode64(item.value) }, { "Revision", item.revision },
            { "Created", item.created }, { "Lease", item.lease } };
    }
    void expireLeases()
    {
        while (true) {
            pause(5);
            const Lock lock(mutex_);
            for (auto lease = leases_.begin(); lease != leases_.end();) {
                if (now() < lease->second.endsAt) {
                    ++lease;
                    continue;
                }
                endLease(lease->first);
                lease = leases_.erase(lease);
            }
        }
    }
    void endLease(std::int64_t id)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_)
            if (item.lease == id)
                keys.push_back(key);
        for (const std::string& key : keys)
            erase(key);
    }

    Response handle(int node, const Request& request)
    {
        static const std::string root = "/rosemarylink/kv-";
        const std::string& target = request.target;
        StoreCall info { node, target.substr(root.size(), target.find_first_of("/?", root.size()) - root.size()),
            &request };
        StoreFault fault;
        if (before)
            fault = before(info);
        if (fault.refuse)
            return { fault.refuse, "{}" };
        pause(fault.executeAfter);
        Response response = execute(info, request);
        if (after)
            after(info, response);
        pause(fault.answerAfter);
        response.silent = fault.loseAnswer;
        return response;
    }

    Response execute(const StoreCall& info, const Request& request)
    {
        Lock lock(mutex_);
        auto query = queryOf(request.target);
        if (info.kind == "key") {
            const auto found = items_.find(query["Key"]);
            Json body = found == items_.end() ? Json::object() : toJson(found->first, found->second);
            body["CurrentRev"] = revision_;
            return { found == items_.end() ? 404 : 200, body.dump() };
        }
        if (info.kind == "range") {
            Json rows = Json::array();
            bool more = false;
            std::size_t bytes = 0;
            for (auto item = items_.upper_bound(std::max(query["After"], query["Prefix"])); true; ++item) {
                if (rows.empty() && query["After"].empty() && items_.count(query["Prefix"]))
                    item = items_.find(query["Prefix"]);
                if (item == items_.end() || item->first.compare(0, query["Prefix"].size(), query["Prefix"]) != 0)
                    break;
                if (rows.size() == 500 || bytes > 1000000) {
                    more = true;
                    break;
                }
                bytes += item->second.value.size();
                rows.push_back(toJson(item->first, item->second));
            }
            return { 200, Json({ { "items", rows }, { "HasMore", more }, { "CurrentRev", revision_ } }).dump() };
        }
        if (info.kind == "watch") {
            const std::int64_t from = std::stoll(query["After"]);
            const double until = now() + std::min(30000.0, std::stod(query["WaitMs"]));
            while (true) {
                if (from < compacted_)
                    return { 410, "{}" };
                Json rows = Json::array();
                for (const Event& event : events_)
                    if (event.revision > from && event.key.compare(0, query["Prefix"].size(), query["Prefix"]) == 0)
                        rows.push_back(event.json);
                if (!rows.empty() || now() >= until)
                    return { 200, Json({ { "events", rows }, { "CurrentRev", std::max(from, revision_) } }).dump() };
                changed_.wait_for(lock, std::chrono::duration<double, std::milli>(until - now()));
            }
        }
        if (info.kind == "txn")
            return commit(Json::parse(request.body));
        if (info.kind == "lease") {
            const double ttl = Json::parse(request.body).at("TtlMs").get<double>();
            const std::int64_t id = ++lastLease_;
            leases_[id] = { ttl, now() + ttl };
            return { 200, Json({ { "Lease", id }, { "TtlMs", static_cast<std::int64_t>(ttl) } }).dump() };
        }
        const std::int64_t id = std::stoll(request.target.substr(request.target.rfind('/') + 1));
        const auto lease = leases_.find(id);
        if (lease == leases_.end())
            return { 404, "{}" };
        if (info.kind == "keep") {
            lease->second.endsAt = now() + lease->second.ttl;
            return { 200, Json({ { "TtlMs", static_cast<std::int64_t>(lease->second.ttl) } }).dump() };
        }
        endLease(id);
        leases_.erase(id);
        return { 200, "{}" };
    }

    Response commit(const Json& body)
    {
        const Json none = Json::array();
        const Json& expected = body.contains("Expected") ? body["Expected"] : none;
        const Json& writes = body.contains("Writes") ? body["Writes"] : none;
        const Json& deletes = body.contains("Deletes") ? body["Deletes"] : none;
        if (expected.size() + writes.size() + deletes.size() > 32)
            return { 400, "{}" };
        bool holds = true;
        Json rows = Json::array();
        for (const Json& row : expected) {
            const std::string key = row.at("Key");
            const auto found = items_.find(key);
            holds = holds
                && (found == items_.end() ? 0 : found->second.revision) == row.at("Revision").get<std::int64_t>();
            rows.push_back(
                found == items_.end() ? Json({ { "Key", key }, { "Revision", 0 } }) : toJson(key, found->second));
        }
        if (!holds)
            return { 412, Json({ { "items", rows } }).dump() };
        for (const Json& row : writes) {
            const std::string key = row.at("Key");
            if (key.compare(0, 3, "op/") == 0 || key.compare(0, 8, "servers/") == 0)
                return { 403, "{}" };
            const std::int64_t lease = row.value("Lease", std::int64_t(0));
            if (lease != 0 && leases_.count(lease) == 0)
                return { 404, "{}" };
        }
        if (writes.empty() && deletes.empty())
            return { 200, Json({ { "Revision", revision_ } }).dump() };
        const std::int64_t revision = ++revision_;
        for (const Json& row : writes)
            store(row.at("Key"), decode64(row.at("Value")), row.value("Lease", std::int64_t(0)), revision);
        for (const Json& key : deletes)
            erase(key, revision);
        return { 200, Json({ { "Revision", revision } }).dump() };
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::map<std::int64_t, Lease> leases_;
    std::vector<Event> events_;
    std::int64_t revision_ = 100, compacted_ = 0, lastLease_ = 7000;
};

// ---- minions

struct MinionLimits {
    double holdMaxMs = 6000;
    double stopMs = 100; // what a stop takes here; StopMs is the most
    std::int64_t cpu = 32000, megabytes = 65536, gpu = 8;
};

// One run as clients and the rules see it.
struct SeenRun {
    std::string minion, task, spec;
    int run = 0;
    std::int64_t token = 0;
    double startedAt = 0, endedAt = -1;
    std::string how; // empty while it runs
};

// All runs of all minions, in the order of their starts.
class RunLog {
public:
    std::size_t add(SeenRun run)
    {
        const Lock lock(mutex_);
        note("minion %s starts %s run %d (fence %lld)", run.minion.c_str(), run.task.c_str(), run.run,
            static_cast<long long>(run.token));
        runs_.push_back(std::move(run));
        return runs_.size() - 1;
    }
    void end(std::size_t index, const std::string& how, double at)
    {
        const Lock lock(mutex_);
        runs_[index].how = how;
        runs_[index].endedAt = at;
        note("minion %s: %s run %d ends %s", runs_[index].minion.c_str(), runs_[index].task.c_str(), runs_[index].run,
            how.c_str());
    }
    std::vector<SeenRun> all()
    {
        const Lock lock(mutex_);
        return runs_;
    }

private:
    std::mutex mutex_;
    std::vector<SeenRun> runs_;
};

// The work of a task that lasts.
constexpr double untilStopped = 1e9;

// What a task asks for and how long it works; the client knows it, and the minion learns it from the task's job.
struct TaskNeeds {
    double workMs = 1000;
    std::int64_t cpu = 1000, megabytes = 1024, gpu = 1;
    const char* how = "done"; // how the run ends
};
using Needs = std::function<TaskNeeds(const std::string& task, int run)>;

class Minion {
public:
    Minion(std::string id, Store& store, RunLog& log, Needs needs, MinionLimits limits = {}, std::string rack = "r1-1")
        : id_(std::move(id))
        , store_(store)
        , log_(log)
        , needs_(std::move(needs))
        , limits_(limits)
        , rack_(std::move(rack))
        , born_(unixMs())
        , bornAt_(now())
    {
        server_ = std::make_shared<Server>("127.0.0.1:0", [this](const Request& request) { return handle(request); });
        beat();
        std::thread([this] { work(); }).detach();
    }

    const std::string& id() const { return id_; }
    const std::string& address() const { return server_->address(); }
    std::function<StoreFault(const Request&)> before; // as for the store

    // The runs of this job end now, as they end when their work is over.
    void endRunsOf(const std::string& job)
    {
        const Lock lock(mutex_);
        for (auto& [task, run] : running_)
            if (task.compare(0, job.size(), job) == 0)
                run.endsAt = now();
    }

    // The machine loses power and never returns. What it ran is gone, calls to it get no answer, and the platform
    // removes its entry after three intervals.
    void losePower()
    {
        const Lock lock(mutex_);
        lost_ = true;
        note("minion %s is lost for good", id_.c_str());
        while (!running_.empty())
            end(running_.begin(), "lost");
        std::thread([this] {
            pause(4500);
            store_.remove("servers/" + id_);
            note("the platform removes the entry of %s", id_.c_str());
        }).detach();
    }

    void beat()
    {
        Json entry;
        {
            const Lock lock(mutex_);
            if (lost_)
                return;
            entry = { { "Service", "svc" }, { "Address", server_->address() }, { "Zone", "zone-a" },
                { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" }, { "ColdRemainingMs", 0 },
                { "ClockMs", clock() }, { "born", born_ },
                { "Capacity",
                    { { "Cpu", limits_.cpu }, { "RequestedMb", limits_.megabytes }, { "Gpu", limits_.gpu } } },
                { "Labels", { "a", rack_ } }, { "Sequence", ++sequence_ } };
        }
        store_.put("servers/" + id_, entry.dump());
    }

private:
    struct Run {
        int run;
        std::size_t logged;
        double endsAt;
        double stopsAt = -1;
        TaskNeeds needs;
    };
    struct End {
        std::int64_t number;
        std::string task;
        int run;
        std::string how;
    };

    std::int64_t clock() const { return static_cast<std::int64_t>(now() - bornAt_); }

    void end(std::map<std::string, Run>::iterator run, const std::string& how)
    {
        log_.end(run->second.logged, how, now());
        ends_.push_back({ ++lastEnd_, run->first, run->second.run, how });
        highestEnded_[run->first] = std::max(highestEnded_[run->first], run->second.run);
        running_.erase(run);
        changed_.notify_all();
    }

    void work()
    {
        double nextBeat = now() + 1500;
        while (true) {
            pause(2);
            {
                const Lock lock(mutex_);
                const bool lapsed = clock() >= deadline_;
                if (lost_)
                    return;
                for (auto run = running_.begin(); run != running_.end();) {
                    const auto current = run++;
                    if (current->second.stopsAt >= 0 && now() >= current->second.stopsAt)
                        end(current, "stopped");
                    else if (lapsed)
                        end(current, "lapsed");
                    else if (current->second.stopsAt < 0 && now() >= current->second.endsAt)
                        end(current, current->second.needs.how);
                }
            }
            if (now() >= nextBeat) {
                nextBeat += 1500;
                beat();
            }
        }
    }

    Response handle(const Request& request)
    {
        StoreFault fault;
        if (before)
            fault = before(request);
        if (fault.refuse)
            return { fault.refuse, "{}" };
        pause(fault.executeAfter);
        {
            const Lock lock(mutex_);
            fault.loseAnswer = fault.loseAnswer || lost_;
        }
        Response response = fault.loseAnswer && lost_ ? Response { 200, "{}" } : execute(request);
        pause(fault.answerAfter);
        response.silent = fault.loseAnswer || lost_;
        return response;
    }

    Response answer(int status, Json body)
    {
        body["ClockMs"] = clock();
        return { status, body.dump() };
    }

    void extend(const Json& body)
    {
        const std::int64_t wanted = body.value("DeadlineMs", std::int64_t(0));
        deadline_ = std::max(deadline_, std::min(wanted, clock() + static_cast<std::int64_t>(limits_.holdMaxMs)));
    }

    Response execute(const Request& request)
    {
        const Json body = Json::parse(request.body);
        Lock lock(mutex_);
        const auto expected = request.headers.find("x-expected-instance");
        if (expected != request.headers.end() && expected->second != id_)
            return answer(421, Json::object());
        const std::int64_t token = body.value("FencingToken", std::int64_t(0));
        if (token < fence_)
            return answer(409, { { "Reason", "fence" } });
        fence_ = token;
        if (request.target == "/rosemarylink/run-start")
            return start(body, token);
        if (request.target == "/rosemarylink/run-stop") {
            const std::string task = body.at("Task");
            const int number = body.at("Run");
            highestEnded_[task] = std::max(highestEnded_[task], number);
            const auto run = running_.find(task);
            if (run != running_.end() && run->second.run <= number && run->second.stopsAt < 0)
                run->second.stopsAt = now() + limits_.stopMs;
            return answer(200, Json::object());
        }
        const std::int64_t acknowledged = body.value("AckCursor", std::int64_t(0));
        ends_.erase(
            std::remove_if(ends_.begin(), ends_.end(), [&](const End& one) { return one.number <= acknowledged; }),
            ends_.end());
        extend(body);
        const double until = now() + std::min(2000.0, body.value("WaitMs", 0.0));
        while (ends_.empty() && now() < until)
            changed_.wait_for(lock, std::chrono::duration<double, std::milli>(until - now()));
        Json running = Json::array(), ended = Json::array();
        for (const auto& [task, run] : running_)
            running.push_back({ task, run.run, "", percentOf(run) });
        for (const End& one : ends_)
            if (ended.size() < 500)
                ended.push_back({ one.number, one.task, one.run, one.how, "" });
        return answer(200, { { "Running", running }, { "Ended", ended }, { "born", born_ } });
    }

    // A task that lasts is at work, at 100, after a short startup.
    static int percentOf(const Run& run)
    {
        constexpr double startupMs = 300;
        const double worked = run.needs.workMs - (run.endsAt - now());
        if (run.needs.workMs >= untilStopped)
            return worked >= startupMs ? 100 : 0;
        return static_cast<int>(std::clamp(100 * worked / std::max(1.0, run.needs.workMs), 0.0, 99.0));
    }

    Response start(const Json& body, std::int64_t token)
    {
        const std::string task = body.at("Task");
        const int number = body.at("Run");
        const auto present = running_.find(task);
        if (present != running_.end() && present->second.run == number && present->second.stopsAt < 0)
            return answer(200, Json::object());
        if (body.value("DeadlineMs", std::int64_t(0)) <= clock())
            return answer(409, { { "Reason", "late" } });
        extend(body);
        const auto ended = highestEnded_.find(task);
        if (present != running_.end() || (ended != highestEnded_.end() && number <= ended->second))
            return answer(409, { { "Reason", "old" } });
        const TaskNeeds needs = needs_(task, number);
        TaskNeeds used = needs;
        for (const auto& [name, run] : running_) {
            used.cpu += run.needs.cpu;
            used.megabytes += run.needs.megabytes;
            used.gpu += run.needs.gpu;
        }
        if (used.cpu > limits_.cpu || used.megabytes > limits_.megabytes || used.gpu > limits_.gpu)
            return answer(409, { { "Reason", "room" } });
        const std::size_t logged = log_.add({ id_, task, body.at("Spec"), number, token, now(), -1, "" });
        running_[task] = { number, logged, now() + needs.workMs, -1, needs };
        return answer(200, Json::object());
    }

    std::string id_;
    Store& store_;
    RunLog& log_;
    Needs needs_;
    MinionLimits limits_;
    std::string rack_;
    std::int64_t born_;
    double bornAt_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Run> running_;
    std::map<std::string, int> highestEnded_;
    std::vector<End> ends_;
    std::int64_t lastEnd_ = 0, fence_ = 0, deadline_ = 0;
    int sequence_ = 0;
    std::atomic<bool> lost_ { false };
    std::shared_ptr<Server> server_;
};

// ---- the processes under test

// A loopback address derived from the process id, so that scripts that run at the same time don't take each other's
// ports.
inline const std::string& ownHost()
{
    static const std::string host = [] {
        const int id = static_cast<int>(::getpid());
        return "127." + std::to_string(1 + (id >> 16) % 254) + "." + std::to_string((id >> 8) % 256) + "."
            + std::to_string(id % 256);
    }();
    return host;
}

// A port of the own address that is free now, each time another one, below those that the system gives to clients.
inline int freePort()
{
    constexpr int ports = 10000;
    static int next = 20000;
    for (int tried = 0; tried < ports; ++tried) {
        const int port = next++;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in own = socketAddress(ownHost() + ":" + std::to_string(port));
        const bool bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0;
        ::close(fd);
        if (bound)
            return port;
    }
    return 0;
}

class Edge {
public:
    Edge(int number, std::string directory, const std::string& storeAddress)
        : name_("edge-" + std::to_string(number))
        , directory_(std::move(directory))
        , front_(ownHost() + ":" + std::to_string(freePort()))
        , readiness_(ownHost() + ":" + std::to_string(freePort()))
    {
        const int internal = freePort();
        // As the platform writes it for a machine of frescura-hq, but for the addresses.
        const Json settings = { { "NodeName", name_ }, { "Role", "edge" }, { "MachineClass", "edge" },
            { "Serves", { "edge" } }, { "Ip", ownHost() }, { "Zone", "zone-a" }, { "Region", "region-a" },
            { "Zones", { { "zone-a", "region-a" } } },
            { "Listen", { { "Frontend", front_ }, { "Readiness", readiness_ } } },
            { "InternalPortRange", { internal, internal } }, { "Seeds", Json::array() }, { "Bootstrap", true },
            { "CountsAsLoss", false },
            { "Limits",
                { { "CpuShare", 0.25 }, { "Cores", 1 }, { "MemoryMb", 260 }, { "FileDescriptors", 4100 },
                    { "LinkMbps", 1000.0 }, { "DiskMb", 0 } } },
            { "DataDir", nullptr }, { "Discovery", "platform" }, { "Entry", "virtual_ip" }, { "HeartbeatMs", 1500 },
            { "Contracts",
                { "base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep",
                    "sharing" } },
            { "FaultTolerance", { { "Machines", 2 }, { "Zones", 0 }, { "Regions", 0 } } },
            { "Bounds",
                { { "ContactMs", 4000 }, { "AckMs", 5000 }, { "DrainMs", 2500 }, { "GraceS", 6 },
                    { "LossSlackMs", 200 }, { "ConfigApplyMs", 2500 }, { "RollbackSlackMs", 250 },
                    { "MaxExtensionMs", 6000 }, { "StrictRevocation", false }, { "RevokeMs", 5000 },
                    { "RecoveryS", 12 }, { "HoldMaxMs", 6000 }, { "StopMs", 400 }, { "GangTimeoutMs", 3000 },
                    { "cancel_ms", 3000 }, { "visible_ms", 3000 }, { "early_ms", 250 }, { "finish_s", 14 },
                    { "status_s", 120 }, { "RemoteFactor", 3 }, { "CheckpointS", 2 }, { "RestoreMs", 250 },
                    { "ReclaimMs", 2900 } } },
            { "Orders", "request" },
            { "platform",
                { { "Address", storeAddress }, { "form", "kv" }, { "WritesPerS", 400 }, { "ReadsPerS", 2000 },
                    { "HistoryS", 20 }, { "ValueBytes", 1048576 }, { "TtlMinMs", 1000 } } } };
        std::ofstream(path()) << settings.dump(2) << "\n";
    }
    ~Edge() { kill(SIGKILL); }

    void start()
    {
        const std::string log = directory_ + "/" + name_ + ".log";
        process_ = ::fork();
        if (process_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::setenv("ROSEMARYLINK_SETTINGS", path().c_str(), 1);
            ::execl("target/rosemarylink-edge", "target/rosemarylink-edge", nullptr);
            ::_exit(127);
        }
        note("%s is started", name_.c_str());
    }
    // SIGKILL also waits for the end of the process.
    void kill(int signal)
    {
        if (process_ <= 0)
            return;
        ::kill(process_, signal);
        if (recordFile())
            note("%s gets signal %d", name_.c_str(), signal);
        if (signal == SIGKILL) {
            ::waitpid(process_, nullptr, 0);
            process_ = 0;
        }
    }
    // SIGTERM, and SIGKILL after the grace period.
    void stop(double graceMs)
    {
        kill(SIGTERM);
        const double until = now() + graceMs;
        while (::waitpid(process_, nullptr, WNOHANG) == 0) {
            if (now() >= until) {
                kill(SIGKILL);
                break;
            }
            pause(10);
        }
        note("%s has ended", name_.c_str());
        process_ = 0;
    }
    bool ready() const
    {
        return call(readiness_, "GET", "/rosemarylink/readiness", { { "Host", "x" } }, "", 500).status == 200;
    }
    const std::string& front() const { return front_; }
    const std::string& name() const { return name_; }

private:
    std::string path() const { return directory_ + "/" + name_ + ".json"; }

    std::string name_, directory_, front_, readiness_;
    pid_t process_ = 0;
};

inline bool waitFor(double limitMs, const std::function<bool()>& condition)
{
    const double until = now() + limitMs;
    while (!condition()) {
        if (now() >= until)
            return false;
        pause(5);
    }
    return true;
}

} // namespace lab
