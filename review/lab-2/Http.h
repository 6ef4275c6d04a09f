#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

// A small blocking HTTP/1.1 server and client on loopback addresses, one thread per connection.
namespace lab {

struct Request {
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response {
    int status = 200; // 0: none is sent
    std::string body;
};

// A server whose machine can be cut off: it then reads nothing that matters, sends nothing and closes nothing, as a
// machine behind a partition. What was sent to it during the cut is lost, and the connections on which that happened
// are closed when the cut ends.
class HttpServer {
public:
    // Calls the handler on the thread of the connection. Listens on a free port of 127.0.0.1.
    using Handler = std::function<Response(const Request&)>;
    explicit HttpServer(Handler);
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    const std::string& address() const { return address_; }
    void setCut(bool cut) { cut_ = cut; }
    bool isCut() const { return cut_; }

private:
    void serve(int connection);
    bool waitForEndOfCut() const;

    Handler handler_;
    std::string address_;
    std::atomic<bool> cut_ { false };
};

// Sends one request over a new connection. Returns nullopt if there is no complete response within the time.
std::optional<Response> send(const std::string& address, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMs);

std::int64_t monotonicMs();
std::int64_t wallMs();
void sleepMs(std::int64_t duration);

// Returns a port of 127.0.0.1 that was free just now.
int freePort();

} // namespace lab
