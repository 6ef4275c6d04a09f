#include "rosemarylink/transport/HttpServer.h"

#include "rosemarylink/base/JsonReader.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/SHA1Engine.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <istream>
#include <mutex>
#include <sstream>

namespace rosemarylink::transport {

bool HeaderLess::operator()(const std::string& a, const std::string& b) const { return Poco::icompare(a, b) < 0; }

std::string HttpRequest::header(const std::string& name, const std::string& fallback) const
{
    const auto position = headers.find(name);
    return position == headers.end() ? fallback : position->second;
}

std::string HttpRequest::queryValue(const std::string& name, const std::string& fallback) const
{
    const auto position = query.find(name);
    return position == query.end() ? fallback : position->second;
}

HttpResponse jsonResponse(const nlohmann::json& json, int status)
{
    HttpResponse response;
    response.status = status;
    response.body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

HttpResponse withEntityTag(const HttpRequest& request, HttpResponse response)
{
    Poco::SHA1Engine digest;
    digest.update(response.body);
    const std::string tag = "\"" + Poco::DigestEngine::digestToHex(digest.digest()) + "\"";
    response.headers["ETag"] = tag;
    if (request.header("If-None-Match") == tag) {
        response.status = 304;
        response.body.clear();
    }
    return response;
}

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return 400;
    case ErrorCode::Unauthenticated:
        return 401;
    case ErrorCode::PermissionDenied:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
    case ErrorCode::Fenced:
        return 409;
    case ErrorCode::ResourceExhausted:
        return 429;
    case ErrorCode::Internal:
    case ErrorCode::Unsupported:
        return 500;
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::DeadlineExceeded:
        return 504;
    }
    return 500;
}

HttpResponse errorResponse(const Error& error)
{
    nlohmann::json body = { { "code", errorCodeName(error.code) }, { "message", error.message },
        { "verdict", verdictName(error.verdict) } };
    if (error.retryAfter)
        body["retryAfterMs"] = error.retryAfter->count();
    HttpResponse response = jsonResponse({ { "error", body } }, httpStatus(error.code));
    response.headers["Rosemarylink-Verdict"] = std::string(verdictName(error.verdict));
    if (error.retryAfter)
        response.headers["Retry-After"] = std::to_string((error.retryAfter->count() + 999) / 1000);
    return response;
}

Error errorFromResponse(int status, const std::string& body)
{
    Error error { ErrorCode::Internal, "HTTP status " + std::to_string(status), Verdict::MayHaveRun, std::nullopt };
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object())
        return error;
    const auto& fields = json["error"];
    error.message = fields.value("message", error.message);
    error.verdict = parseVerdict(fields.value("verdict", "")).value_or(Verdict::MayHaveRun);
    if (fields.contains("retryAfterMs") && fields["retryAfterMs"].is_number_integer())
        error.retryAfter = Milliseconds(fields["retryAfterMs"].get<std::int64_t>());
    for (int code = 0; code <= static_cast<int>(ErrorCode::Internal); ++code) {
        if (errorCodeName(static_cast<ErrorCode>(code)) == fields.value("code", ""))
            error.code = static_cast<ErrorCode>(code);
    }
    return error;
}

namespace {

    std::vector<std::string> splitPath(const std::string& path)
    {
        const Poco::StringTokenizer tokens(path, "/", Poco::StringTokenizer::TOK_IGNORE_EMPTY);
        return { tokens.begin(), tokens.end() };
    }

    bool isParameter(const std::string& segment) { return segment.size() > 2 && segment.front() == '{'; }

    bool matchesRest(const std::string& segment)
    {
        return isParameter(segment) && segment.size() > 5 && segment.compare(segment.size() - 4, 4, "...}") == 0;
    }

    // Returns true and sets the parameters when the path matches the pattern.
    bool matches(const std::vector<std::string>& pattern, const std::vector<std::string>& path,
        std::map<std::string, std::string>& parameters)
    {
        for (std::size_t index = 0; index < pattern.size(); ++index) {
            const std::string& segment = pattern[index];
            if (index >= path.size())
                return false;
            if (matchesRest(segment)) {
                std::string rest = path[index];
                for (std::size_t next = index + 1; next < path.size(); ++next)
                    rest += "/" + path[next];
                parameters[segment.substr(1, segment.size() - 5)] = rest;
                return true;
            }
            if (isParameter(segment))
                parameters[segment.substr(1, segment.size() - 2)] = path[index];
            else if (segment != path[index])
                return false;
        }
        return pattern.size() == path.size();
    }

} // namespace

void HttpRouter::add(const std::string& method, const std::string& pattern, HttpHandler handler)
{
    routes_.push_back({ method, splitPath(pattern), std::move(handler) });
}

HttpResponse HttpRouter::route(HttpRequest request) const
{
    const std::vector<std::string> path = splitPath(request.path);
    bool pathKnown = false;
    for (const Route& route : routes_) {
        std::map<std::string, std::string> parameters;
        if (!matches(route.segments, path, parameters))
            continue;
        pathKnown = true;
        if (route.method != request.method)
            continue;
        request.parameters = std::move(parameters);
        return route.handler(request);
    }
    HttpResponse response = errorResponse(makeError(ErrorCode::NotFound,
        pathKnown ? request.method + " is not allowed on " + request.path : "no such path: " + request.path));
    if (pathKnown)
        response.status = 405;
    return response;
}

namespace {

    class ActiveRequests {
    public:
        void begin()
        {
            const std::lock_guard lock(mutex_);
            ++count_;
        }
        void end()
        {
            const std::lock_guard lock(mutex_);
            if (--count_ == 0)
                idle_.notify_all();
        }
        bool waitUntilIdle(Milliseconds limit)
        {
            std::unique_lock lock(mutex_);
            return idle_.wait_for(lock, limit, [this] { return count_ == 0; });
        }

    private:
        std::mutex mutex_;
        std::condition_variable idle_;
        int count_ = 0;
    };

    class RouterHandler final : public Poco::Net::HTTPRequestHandler {
    public:
        RouterHandler(const HttpRouter& router, std::size_t maximumBody, ActiveRequests& active)
            : router_(router)
            , maximumBody_(maximumBody)
            , active_(active)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            active_.begin();
            try {
                handle(request, response);
            } catch (const std::exception&) {
                // The client disconnected during the response, so the error cannot be reported to it.
                response.setKeepAlive(false);
            }
            active_.end();
        }

    private:
        void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
        {
            HttpRequest parsed;
            if (!readRequest(request, parsed)) {
                HttpResponse tooLarge = errorResponse(
                    invalidArgument("the body is longer than " + std::to_string(maximumBody_) + " bytes"));
                tooLarge.status = 413;
                response.setKeepAlive(false);
                send(tooLarge, response);
                return;
            }
            Poco::Net::StreamSocket& socket = static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
            parsed.clientGone = [&socket] { return isClosedByPeer(socket); };
            const HttpResponse result = router_.route(std::move(parsed));
            if (result.closeWithoutAnswer) {
                response.setKeepAlive(false);
                socket.shutdown();
                return;
            }
            send(result, response);
            if (result.duplicate)
                sendAgain(result, response, socket);
        }

        // A socket that is readable but has no byte to peek was closed by the peer.
        static bool isClosedByPeer(Poco::Net::StreamSocket& socket)
        {
            try {
                char byte = 0;
                return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)
                    && socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
            } catch (const Poco::Exception&) {
                return true;
            }
        }

        static void sendAgain(
            const HttpResponse& result, const Poco::Net::HTTPServerResponse& response, Poco::Net::StreamSocket& socket)
        {
            std::ostringstream copy;
            response.write(copy);
            copy << result.body;
            const std::string bytes = copy.str();
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        }

        bool readRequest(Poco::Net::HTTPServerRequest& request, HttpRequest& parsed) const
        {
            const Poco::URI uri(request.getURI());
            parsed.method = request.getMethod();
            parsed.path = uri.getPath();
            for (const auto& [name, value] : uri.getQueryParameters())
                parsed.query[name] = value;
            for (const auto& [name, value] : request)
                parsed.headers[name] = value;
            std::array<char, 16384> buffer {};
            std::istream& input = request.stream();
            while (input) {
                input.read(buffer.data(), buffer.size());
                parsed.body.append(buffer.data(), static_cast<std::size_t>(input.gcount()));
                if (parsed.body.size() > maximumBody_)
                    return false;
            }
            return true;
        }

        static void send(const HttpResponse& result, Poco::Net::HTTPServerResponse& response)
        {
            response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(result.status));
            response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
            response.setContentType(result.contentType);
            for (const auto& [name, value] : result.headers)
                response.set(name, value);
            response.setContentLength64(static_cast<Poco::Int64>(result.body.size()));
            if (result.truncateBodyBy > 0)
                response.setKeepAlive(false);
            const std::size_t length = result.body.size() - std::min(result.truncateBodyBy, result.body.size());
            // Uses send instead of sendBuffer, which would declare the truncated length.
            std::ostream& output = response.send();
            output.write(result.body.data(), static_cast<std::streamsize>(length));
            output.flush();
        }

        const HttpRouter& router_;
        std::size_t maximumBody_;
        ActiveRequests& active_;
    };

    class RouterHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        RouterHandlerFactory(const HttpRouter& router, std::size_t maximumBody, ActiveRequests& active)
            : router_(router)
            , maximumBody_(maximumBody)
            , active_(active)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            return new RouterHandler(router_, maximumBody_, active_);
        }

    private:
        const HttpRouter& router_;
        std::size_t maximumBody_;
        ActiveRequests& active_;
    };

} // namespace

struct HttpServer::State {
    State(const HttpRouter& routes, const HttpServerOptions& serverOptions)
        : router(routes)
        , options(serverOptions)
        , threads("http", 2, serverOptions.threads, 60, 0)
    {
    }

    const HttpRouter& router;
    HttpServerOptions options;
    ActiveRequests active;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

HttpServer::HttpServer(const HttpRouter& router, const HttpServerOptions& options)
    : state_(std::make_unique<State>(router, options))
{
}

HttpServer::~HttpServer() { stop(Milliseconds(0)); }

Status HttpServer::start()
{
    const HttpServerOptions& options = state_->options;
    const std::string address = options.host + ":" + std::to_string(options.port);
    try {
        const Poco::Net::ServerSocket socket(
            Poco::Net::SocketAddress(options.host, static_cast<Poco::UInt16>(options.port)), options.queuedConnections);
        Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
        parameters->setMaxThreads(options.threads);
        parameters->setMaxQueued(options.queuedConnections);
        parameters->setKeepAlive(true);
        parameters->setKeepAliveTimeout(Poco::Timespan(options.idleTimeout.count() * 1000));
        parameters->setTimeout(Poco::Timespan(options.idleTimeout.count() * 1000));
        state_->server = std::make_unique<Poco::Net::HTTPServer>(
            new RouterHandlerFactory(state_->router, options.maximumBody, state_->active), state_->threads, socket,
            parameters);
        state_->server->start();
    } catch (const Poco::Exception& exception) {
        return makeError(ErrorCode::Unavailable, "cannot listen on " + address + ": " + exception.displayText());
    }
    return okStatus();
}

int HttpServer::port() const { return state_->server ? state_->server->port() : 0; }

bool HttpServer::stop(Milliseconds limit)
{
    if (!state_->server)
        return true;
    state_->server->stop();
    const bool finished = state_->active.waitUntilIdle(limit);
    state_->server->stopAll(true);
    state_->threads.joinAll();
    state_->server.reset();
    return finished;
}

} // namespace rosemarylink::transport
