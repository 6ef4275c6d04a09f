// Event loop, HTTP server and HTTP client of the review's stand-ins. They share no code with the project, so that a
// fault of the project's own HTTP code does not hide behind them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lab {

using Ms = std::int64_t;

Ms now(); // milliseconds on the steady clock

class Loop {
public:
    void after(Ms delay, std::function<void()> task) { timers_.emplace(now() + delay, std::move(task)); }
    void watch(int fd, short events, std::function<void(short)> handler)
    {
        handlers_[fd] = { events, std::move(handler) };
    }
    void unwatch(int fd) { handlers_.erase(fd); }
    void run(Ms until);
    void stop() { stopped_ = true; }

private:
    std::multimap<Ms, std::function<void()>> timers_;
    std::map<int, std::pair<short, std::function<void(short)>>> handlers_;
    bool stopped_ = false;
};

struct Message {
    std::string start; // request line or status line
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const;
    int status() const;
};

// Extracts a complete message from the front of `bytes`; returns false if there is none yet.
bool extract(std::string& bytes, Message&);

using Respond = std::function<void(int status, const std::string& body)>;

// HTTP server on a free port of 127.0.0.1.
class Server {
public:
    using Handler = std::function<void(const Message&, Respond)>;
    Server(Loop&, Handler);
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    int port() const { return port_; }

    // While cut off, the server neither accepts nor reads nor writes: open connections hang and new ones get no answer
    // to their opening packet, because the queue of the listening socket is kept full.
    void setCutOff(bool);

    // While closed, as after a crash of the process, the port refuses connections. Closing resets the open ones.
    void setClosed(bool);

private:
    struct Connection;
    void listen();
    void accept();
    void arm(const std::shared_ptr<Connection>&);
    void serve(const std::shared_ptr<Connection>&);
    void flush(const std::shared_ptr<Connection>&);
    void close(const std::shared_ptr<Connection>&);

    Loop& loop_;
    Handler handler_;
    int fd_ = -1;
    int port_ = 0; // 0 until the first listen(), which takes a free one
    bool cutOff_ = false;
    std::set<std::shared_ptr<Connection>> connections_;
    std::vector<int> fillers_;
    std::set<int> fillerPorts_;
};

// Sends one request on a connection of its own. `done` gets the status, or 0 if there was no complete answer in time,
// in which case the connection is closed.
void request(Loop&, int port, const std::string& method, const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body, Ms timeout,
    std::function<void(int status, const std::string& body)> done);

int freePort(); // a port of 127.0.0.1 that is not in use

} // namespace lab
