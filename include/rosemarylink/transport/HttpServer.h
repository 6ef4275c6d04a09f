#pragma once

#include "rosemarylink/base/Error.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::transport {

// Header names compare without regard to case.
struct HeaderLess {
    bool operator()(const std::string& a, const std::string& b) const;
};
using Headers = std::map<std::string, std::string, HeaderLess>;

struct HttpRequest {
    std::string method;
    std::string path; // decoded, without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> parameters; // values of the pattern's {names}
    Headers headers;
    std::string body;
    // True once the client has closed its connection; empty when the request did not come over a connection. Valid
    // during the handler's call only.
    std::function<bool()> clientGone;

    // The header's value, or the fallback when it is absent.
    std::string header(const std::string& name, const std::string& fallback = "") const;
    std::string queryValue(const std::string& name, const std::string& fallback = "") const;
};

struct HttpResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    Headers headers;
    // Faults of a stand-in: close the connection before an answer, or after part of the body, or send the answer twice.
    bool closeWithoutAnswer = false;
    bool duplicate = false;
    std::size_t truncateBodyBy = 0; // bytes
};

HttpResponse jsonResponse(const nlohmann::json&, int status = 200);

// An error as {"error": {"code", "message", "verdict", "retryAfterMs"}} with the matching status, the header
// Rosemarylink-Verdict and, when set, Retry-After in whole seconds.
HttpResponse errorResponse(const Error&);

// Adds an ETag to a 200 response, or turns it into 304 without a body when the request's If-None-Match names it.
HttpResponse withEntityTag(const HttpRequest&, HttpResponse);

// The HTTP status of an error code.
int httpStatus(ErrorCode);

// The error that errorResponse wrote; a response without one becomes Internal with MayHaveRun.
Error errorFromResponse(int status, const std::string& body);

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

// Routes by method and a pattern such as "/v1/jobs/{id}/explain". A last segment "{name...}" takes the rest of the
// path.
class HttpRouter {
public:
    void add(const std::string& method, const std::string& pattern, HttpHandler);

    // Answers 404 for an unknown path and 405 for an unknown method.
    HttpResponse route(HttpRequest) const;

private:
    struct Route {
        std::string method;
        std::vector<std::string> segments;
        HttpHandler handler;
    };
    std::vector<Route> routes_;
};

struct HttpServerOptions {
    std::string host = "127.0.0.1"; // IP address
    int port = 0; // 0: the kernel chooses
    int threads = 32;
    int queuedConnections = 256;
    std::size_t maximumBody = 8 << 20; // bytes; longer bodies get 413
    Milliseconds idleTimeout { 15000 }; // of kept-alive connections
};

// An HTTP server on POCO's Net. Handlers run on the server's threads.
class HttpServer {
public:
    // The router must outlive the server and not change after start.
    HttpServer(const HttpRouter&, const HttpServerOptions&);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Fails when the address cannot be bound.
    Status start();
    int port() const;

    // Stops accepting; requests in progress finish, at most for the given time. True when all did.
    bool stop(Milliseconds limit);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace rosemarylink::transport
