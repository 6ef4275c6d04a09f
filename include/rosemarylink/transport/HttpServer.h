#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/reactor/ConnectionLimits.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::transport {

// Compares header names case-insensitively.
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
    // Returns true once the client has closed its connection. Empty when the request did not arrive over a connection.
    // Valid only during the call of the handler.
    std::function<bool()> clientGone;

    // Return the value, or the fallback when it is absent.
    std::string header(const std::string& name, const std::string& fallback = "") const;
    std::string queryValue(const std::string& name, const std::string& fallback = "") const;
};

struct HttpResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    Headers headers;
    // Faults that the stand-ins inject: close the connection without a response, send the response twice, or close it
    // after part of the body.
    bool closeWithoutAnswer = false;
    bool duplicate = false;
    std::size_t truncateBodyBy = 0; // bytes
};

HttpResponse jsonResponse(const nlohmann::json&, int status = 200);

// Encodes an error as {"error": {"code", "message", "verdict", "retryAfterMs"}}, with the matching status, the header
// Rosemarylink-Verdict and, if the error has a retry time, the header Retry-After in seconds, rounded up.
HttpResponse errorResponse(const Error&);

// Adds an ETag to a 200 response. Replaces the response by 304 without a body when the request's If-None-Match equals
// the ETag.
HttpResponse withEntityTag(const HttpRequest&, HttpResponse);

// The HTTP status of an error code.
int httpStatus(ErrorCode);

// Decodes an error that errorResponse has encoded. Returns Internal with MayHaveRun for any other body.
Error errorFromResponse(int status, const std::string& body);

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

// Routes requests by method and path pattern, such as "/v1/jobs/{id}/explain". A last segment "{name...}" matches the
// rest of the path.
class HttpRouter {
public:
    void add(const std::string& method, const std::string& pattern, HttpHandler);

    // Calls the handler of the first matching route. Returns 404 for an unknown path and 405 for an unknown method.
    HttpResponse route(HttpRequest) const;

private:
    struct Route {
        std::string method;
        std::vector<std::string> segments;
        HttpHandler handler;
    };
    std::vector<Route> routes_;
};

// Limits of a server for a few trusted clients: stand-ins, tests and tools.
reactor::ConnectionLimits trustedClientLimits();

struct HttpServerOptions {
    std::string host = "127.0.0.1"; // IP address
    int port = 0; // 0: the kernel chooses
    int threads = 32; // requests that are handled at once
    std::size_t queuedRequests = 256; // that wait for a thread; further ones get 503 with NotRun
    reactor::ConnectionLimits limits = trustedClientLimits();
    Milliseconds idleTimeout { 15000 }; // after which an idle persistent connection is closed
};

// An HTTP server for handlers that block. All connections are read and written by one thread, under the limits of
// reactor::LoopHttpServer, so that a connection costs no thread; a request gets one when it has arrived whole. Bodies
// need a Content-Length.
class HttpServer {
public:
    // The router must outlive the server and must not be changed after start.
    HttpServer(const HttpRouter&, const HttpServerOptions&);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Fails when the address cannot be bound.
    Status start();
    int port() const;

    // Stops accepting connections and waits up to the limit for requests in progress and their responses. Returns true
    // when all requests have finished. Blocks beyond the limit for handlers that do not return.
    bool stop(Milliseconds limit);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace rosemarylink::transport
