#include "rosemarylink/transport/HttpServer.h"

#include "RequestWorkers.h"
#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Log.h"
#include "rosemarylink/reactor/LoopHttpServer.h"
#include "rosemarylink/reactor/TaskInbox.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <atomic>
#include <fcntl.h>
#include <future>
#include <optional>
#include <thread>

namespace rosemarylink::transport {

namespace {

    // A client may return this soon after a refusal for want of a thread.
    constexpr Milliseconds retryAfterFullQueue { 1000 };

    const Logger logger("http");

    // A second descriptor of a client's connection, on which a handler's thread may look while the loop's thread owns
    // the first.
    class ConnectionProbe {
    public:
        explicit ConnectionProbe(const Poco::Net::StreamSocket& connection)
        {
            const int descriptor = ::fcntl(connection.impl()->sockfd(), F_DUPFD_CLOEXEC, 0);
            if (descriptor >= 0)
                socket_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor));
            else
                logger.warning("A request cannot notice that its client disconnects", { { "errno", errno } });
        }

        // A socket that is readable but has no byte to peek was closed by the peer.
        bool isClosedByPeer()
        {
            if (!socket_)
                return false;
            try {
                char byte = 0;
                return socket_->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)
                    && socket_->receiveBytes(&byte, 1, MSG_PEEK) == 0;
            } catch (const Poco::Exception&) {
                return true;
            }
        }

    private:
        std::optional<Poco::Net::StreamSocket> socket_;
    };

    // Throws Poco::SyntaxException if the target is not a URI.
    HttpRequest decode(const reactor::ServerRequest& message)
    {
        HttpRequest request;
        const Poco::URI uri(message.head.getURI());
        request.method = message.head.getMethod();
        request.path = uri.getPath();
        for (const auto& [name, value] : uri.getQueryParameters())
            request.query[name] = value;
        for (const auto& [name, value] : message.head)
            request.headers[name] = value;
        return request;
    }

    reactor::ServerResponse encode(HttpResponse response)
    {
        reactor::ServerResponse encoded;
        encoded.status = response.status;
        encoded.body = std::move(response.body);
        encoded.contentType = response.contentType;
        for (const auto& [name, value] : response.headers) {
            if (Poco::icompare(name, "Connection") == 0)
                encoded.closeConnection = Poco::icompare(value, "close") == 0;
            else
                encoded.headers.emplace_back(name, value);
        }
        encoded.closeWithoutAnswer = response.closeWithoutAnswer;
        encoded.duplicate = response.duplicate;
        encoded.truncateBodyBy = response.truncateBodyBy;
        return encoded;
    }

    reactor::ServerResponse refusal(const Error& error)
    {
        // Nothing has run for want of room or because of a malformed request.
        HttpResponse response = errorResponse({ error.code, error.message, Verdict::NotRun, error.retryAfter });
        if (error.code == ErrorCode::ResourceExhausted)
            response.status = 413;
        return encode(std::move(response));
    }

} // namespace

reactor::ConnectionLimits trustedClientLimits() { return {}; }

struct HttpServer::State {
    State(const HttpRouter& routes, const HttpServerOptions& serverOptions)
        : router(routes)
        , options(serverOptions)
        , loop(clock)
        , inbox(loop)
        , workers(serverOptions.threads, serverOptions.queuedRequests)
    {
    }

    void handle(reactor::ServerRequest message, const reactor::Responder& respond);
    reactor::ServerResponse serve(reactor::ServerRequest& message, ConnectionProbe& probe) const;
    // Lets the loop end once the server has drained, or at the deadline.
    void endLoopWhenIdle();

    const HttpRouter& router;
    HttpServerOptions options;
    SystemClock clock;
    reactor::EventLoop loop;
    reactor::TaskInbox inbox;
    RequestWorkers workers;
    std::unique_ptr<reactor::LoopHttpServer> server; // used on the loop's thread once that runs
    std::thread thread;
    int port = 0;
    std::atomic<std::size_t> requests { 0 }; // whose response has not been passed to the loop
    std::optional<Milliseconds> stopBy; // used on the loop's thread
};

// Runs on the loop's thread.
void HttpServer::State::handle(reactor::ServerRequest message, const reactor::Responder& respond)
{
    const auto probe = std::make_shared<ConnectionProbe>(*message.connection);
    message.connection = nullptr;
    const auto request = std::make_shared<reactor::ServerRequest>(std::move(message));
    ++requests;
    const bool taken = workers.run([this, request = request, probe = probe, respond]() mutable {
        reactor::ServerResponse response = serve(*request, *probe);
        request.reset();
        // A second descriptor would keep the connection open that the response may close.
        probe.reset();
        inbox.post([this, respond, response = std::move(response)] {
            respond(response);
            --requests;
        });
    });
    if (taken)
        return;
    --requests;
    logger.warning("Request is refused because all threads are busy", { { "target", request->head.getURI() } });
    respond(
        refusal({ ErrorCode::Unavailable, "all threads are busy; retry later", Verdict::NotRun, retryAfterFullQueue }));
}

// Runs on a worker thread. Takes the body out of the message.
reactor::ServerResponse HttpServer::State::serve(reactor::ServerRequest& message, ConnectionProbe& probe) const
{
    try {
        HttpRequest request = decode(message);
        request.body = std::move(message.body);
        request.clientGone = [&probe] { return probe.isClosedByPeer(); };
        return encode(router.route(std::move(request)));
    } catch (const Poco::SyntaxException& problem) {
        return refusal(invalidArgument("the request's target is not a URI: " + problem.message()));
    } catch (const std::exception& problem) {
        // The request may have had an effect, so that its caller must learn nothing else.
        logger.error("Request handler threw an exception; closing the connection",
            { { "target", message.head.getURI() }, { "reason", problem.what() } });
        reactor::ServerResponse response;
        response.closeWithoutAnswer = true;
        return response;
    }
}

void HttpServer::State::endLoopWhenIdle()
{
    if (!stopBy)
        return;
    const bool idle = requests == 0 && (!server || server->connections() == 0);
    if (idle || clock.monotonic() >= *stopBy)
        loop.stop();
}

HttpServer::HttpServer(const HttpRouter& router, const HttpServerOptions& options)
    : state_(std::make_unique<State>(router, options))
{
}

HttpServer::~HttpServer() { stop(Milliseconds(0)); }

Status HttpServer::start()
{
    const HttpServerOptions& options = state_->options;
    State* const state = state_.get();
    BOOST_OUTCOME_TRY(server,
        reactor::LoopHttpServer::listen(state->loop, options.host + ":" + std::to_string(options.port), options.limits,
            [state](reactor::ServerRequest message, const reactor::Responder& respond) {
                state->handle(std::move(message), respond);
            }));
    server->setRefusalFormat(refusal);
    server->closeIdleConnections(options.idleTimeout);
    state->port = Poco::Net::SocketAddress(server->address()).port();
    state->server = std::move(server);
    state->thread = std::thread([state] { state->loop.run([state] { state->endLoopWhenIdle(); }); });
    return okStatus();
}

int HttpServer::port() const { return state_->port; }

bool HttpServer::stop(Milliseconds limit)
{
    if (!state_->thread.joinable())
        return true;
    state_->inbox.post([state = state_.get(), limit] {
        state->server->drain();
        state->stopBy = state->clock.monotonic() + limit;
    });
    state_->thread.join();
    const bool finished = state_->requests == 0;
    state_->workers.stop();
    state_->server.reset();
    return finished;
}

} // namespace rosemarylink::transport
