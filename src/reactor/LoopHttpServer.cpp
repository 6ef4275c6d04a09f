#include "rosemarylink/reactor/LoopHttpServer.h"

#include "rosemarylink/base/Log.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <limits>
#include <sstream>

namespace rosemarylink::reactor {

namespace {

    // Limit on connections that wait in the kernel for accept(); callers connect in bursts of a few dozen.
    constexpr int listenBacklog = 256;

    // Connections accepted in one iteration of the loop, so that a burst does not delay requests.
    constexpr int acceptsPerIteration = 64;

    constexpr int idleChecksPerLimit = 8;

    constexpr Milliseconds progressCheckInterval { 1000 };

    // Read at once while a head is not complete. What a client sends beyond its request is at most this much.
    constexpr std::size_t readAheadBytes = 16 * 1024;

    // Read at once of a body; bounds the time for which one connection keeps the loop busy.
    constexpr std::size_t bodyReadBytes = 64 * 1024;

    // Requests in progress end within a caller's deadline of a few seconds, and most within milliseconds.
    constexpr Milliseconds retryAfter { 1000 };

    const Logger logger("http");

    Error budgetExceeded()
    {
        return { ErrorCode::Unavailable, "too many bytes of requests are held; retry later", Verdict::NotRun,
            retryAfter };
    }

    ServerResponse jsonRefusal(const Error& error)
    {
        switch (error.code) {
        case ErrorCode::Unavailable:
            return { 503,
                R"({"Error":")" + error.message + R"(","RetryAfterMs":)" + std::to_string(retryAfter.count()) + "}",
                { { "Retry-After", std::to_string(retryAfter.count() / 1000) } } };
        case ErrorCode::ResourceExhausted:
            return { 413, R"({"error":")" + error.message + "\"}", {} };
        default:
            return { 400, R"({"error":")" + error.message + "\"}", {} };
        }
    }

} // namespace

// The part of the budget that a request in progress uses. Ends with the response, or when the handler has dropped the
// request without one.
class LoopHttpServer::RequestCharge {
public:
    RequestCharge(std::shared_ptr<ConnectionBudget> budget, std::size_t requestBytes)
        : budget_(std::move(budget))
        , requestBytes_(requestBytes)
    {
        budget_->startRequest(requestBytes_);
    }
    ~RequestCharge() { end(); }
    RequestCharge(const RequestCharge&) = delete;
    RequestCharge& operator=(const RequestCharge&) = delete;

    void end()
    {
        if (const auto budget = std::exchange(budget_, nullptr))
            budget->endRequest(requestBytes_);
    }

private:
    std::shared_ptr<ConnectionBudget> budget_; // null once ended
    std::size_t requestBytes_;
};

class LoopHttpServer::Connection final : public SocketHandler,
                                         public std::enable_shared_from_this<LoopHttpServer::Connection> {
public:
    Connection(LoopHttpServer& server, ConnectionBudget::Id id, const Poco::Net::StreamSocket& socket, std::string peer)
        : server_(&server)
        , id_(id)
        , peer_(std::move(peer))
        , buffer_(socket)
        , openedAt_(server.loop_.clock().monotonic())
        , activeAt_(openedAt_)
        , stageSince_(openedAt_)
    {
        server.budget_->open(id_, peer_, openedAt_);
    }

    void start() { server_->loop_.watch(buffer_.socket(), false, shared_from_this()); }

    bool busy() { return requestInProgress_ || buffer_.hasUnsent() || !buffer_.received().empty(); }

    void onReadable() override
    {
        if (!reading_) {
            // Either the connection has failed, or the event is from before an earlier handler of this iteration made
            // the response and reading was stopped.
            if (buffer_.failed())
                close();
            return;
        }
        if (!mayServe()) {
            watch(false, writing_);
            return;
        }
        if (nextScheduled_)
            return; // what has arrived is handled first
        const auto self = shared_from_this();
        noteActivity();
        const std::size_t limit = readLimit();
        if (messageBytes_ != 0)
            buffer_.reserveReceived(buffer_.received().size() + limit);
        if (buffer_.receiveSome(limit) == SocketBuffer::ConnectionState::Closed) {
            close();
            return;
        }
        serveNext();
        updateBudget();
    }

    void onWritable() override
    {
        noteActivity();
        const std::size_t unsentBefore = buffer_.unsentBytes();
        if (buffer_.send() == SocketBuffer::ConnectionState::Closed) {
            close();
            return;
        }
        if (buffer_.hasUnsent()) {
            if (buffer_.unsentBytes() < unsentBefore)
                responseProgressAt_ = activeAt_;
            updateBudget();
            return;
        }
        if (closeAfterSend_ || server_->draining_) {
            close();
            return;
        }
        const auto self = shared_from_this();
        buffer_.releaseMemory();
        watch(true, false);
        startStage();
        serveNext();
        updateBudget();
    }

    // A request that has arrived in part is not in progress: its caller may have gone silent.
    bool idleSince(Milliseconds time) const { return !requestInProgress_ && !buffer_.hasUnsent() && activeAt_ <= time; }

    // Closes the connection if it is idle; otherwise it is closed after the current response.
    void drain()
    {
        if (!busy())
            close();
    }

    // Closes the connection if its client sends a request or reads a response slower than the limits allow.
    void checkProgress(Milliseconds now)
    {
        if (!server_)
            return;
        const ConnectionLimits& limits = server_->limits_;
        if (limits.responseTimeout > Milliseconds(0) && stage_ == ConnectionStage::Sending
            && now - responseProgressAt_ > limits.responseTimeout) {
            closeFor("unread-response");
            return;
        }
        if (limits.headTimeout == Milliseconds(0) || stage_ != ConnectionStage::Receiving
            || now - stageSince_ <= limits.headTimeout)
            return;
        if (messageBytes_ == 0) {
            closeFor("slow-head");
            return;
        }
        if (progressCheckedAt_ < stageSince_) { // the first check of this request
            progressCheckedAt_ = now;
            progressBytes_ = buffer_.received().size();
            return;
        }
        if (now - progressCheckedAt_ < ConnectionLimits::progressInterval)
            return;
        const auto arrived = static_cast<std::int64_t>(buffer_.received().size() - progressBytes_);
        if (arrived * 1000
            < static_cast<std::int64_t>(limits.minimumBytesPerSecond) * (now - progressCheckedAt_).count()) {
            closeFor("slow-body");
            return;
        }
        progressCheckedAt_ = now;
        progressBytes_ = buffer_.received().size();
    }

    // Closes the connection because of a limit. A request whose head is complete is refused first, if possible.
    void closeFor(const std::string& cause)
    {
        if (!server_)
            return;
        logger.warning("Connection is closed because of a limit",
            { { "peer", peer_ }, { "cause", cause }, { "bytes", buffer_.memory() },
                { "ageMs", (server_->loop_.clock().monotonic() - openedAt_).count() },
                { "open", server_->connections_.size() } });
        if (server_->observer_.connectionClosed)
            server_->observer_.connectionClosed(cause);
        if (stage_ == ConnectionStage::Receiving && messageBytes_ != 0) {
            closeAfterSend_ = true;
            buffer_.appendUnsent(format(server_->refusalFormat_(budgetExceeded())));
            buffer_.send(); // what the socket does not accept at once is not sent
        }
        close();
    }

    void close()
    {
        if (!server_)
            return;
        LoopHttpServer* const server = server_;
        server_ = nullptr;
        server->loop_.unwatch(buffer_.socket());
        buffer_.socket().close();
        server->budget_->close(id_);
        server->connections_.erase(id_);
    }

private:
    void noteActivity()
    {
        if (server_)
            activeAt_ = server_->loop_.clock().monotonic();
    }

    bool mayServe() const { return !requestInProgress_ && !buffer_.hasUnsent() && !closeAfterSend_; }

    // For a body at most as much as has arrived, so that the memory follows what the client has sent and not what its
    // head announces.
    std::size_t readLimit()
    {
        const std::size_t arrived = buffer_.received().size();
        if (messageBytes_ <= arrived)
            return readAheadBytes;
        return std::min(messageBytes_ - arrived, std::clamp(arrived, readAheadBytes, bodyReadBytes));
    }

    void watch(bool reading, bool writing)
    {
        if (reading == reading_ && writing == writing_)
            return;
        reading_ = reading;
        writing_ = writing;
        if (reading)
            server_->loop_.watch(buffer_.socket(), writing, shared_from_this());
        else
            server_->loop_.watchWithoutReading(buffer_.socket(), writing, shared_from_this());
    }

    ConnectionStage currentStage()
    {
        if (requestInProgress_)
            return ConnectionStage::InProgress;
        if (buffer_.hasUnsent())
            return ConnectionStage::Sending;
        if (!buffer_.received().empty())
            return ConnectionStage::Receiving;
        return served_ ? ConnectionStage::Idle : ConnectionStage::Unused;
    }

    // Makes the current stage begin now, also if it is the same as the last one.
    void startStage()
    {
        stage_ = currentStage();
        stageSince_ = activeAt_;
    }

    // Tells the budget what this connection holds. May close this or other connections.
    void updateBudget()
    {
        if (!server_)
            return;
        if (stage_ != currentStage())
            startStage();
        server_->budget_->setStage(id_, stage_, stageSince_);
        server_->budget_->setBuffered(id_, buffer_.memory());
        server_->enforceBudget();
    }

    void refuse(const std::string& cause, const ServerResponse& response)
    {
        logger.warning("Request is refused because of a limit",
            { { "peer", peer_ }, { "cause", cause }, { "status", response.status },
                { "requestBytesHeld", server_->budget_->requestBytes() } });
        if (server_->observer_.requestRefused)
            server_->observer_.requestRefused(cause);
        respond(response);
    }

    void refuseMalformed(const Error& error)
    {
        closeAfterSend_ = true;
        if (error.code == ErrorCode::ResourceExhausted)
            refuse("body-limit", server_->refusalFormat_(error));
        else
            respond(server_->refusalFormat_(error));
    }

    void serveNext()
    {
        if (!server_ || !mayServe() || buffer_.received().size() < messageBytes_)
            return;
        const std::size_t bytesBefore = buffer_.received().size();
        auto extracted = extractRequest(buffer_.received(), server_->limits_.message);
        if (!extracted) {
            refuseMalformed(extracted.error());
            return;
        }
        if (!extracted.value()) {
            noteAnnouncedRequest();
            return;
        }
        messageBytes_ = 0;
        buffer_.releaseMemory();
        served_ = true;
        const std::size_t requestBytes = bytesBefore - buffer_.received().size();
        closeAfterSend_ = !extracted.value()->head.getKeepAlive();
        if (!server_->budget_->mayStartRequest(requestBytes)) {
            refuse("request-budget", server_->refusalFormat_(budgetExceeded()));
            return;
        }
        requestInProgress_ = true;
        const auto self = shared_from_this();
        const auto charge = std::make_shared<RequestCharge>(server_->budget_, requestBytes);
        const std::string target = extracted.value()->head.getURI();
        try {
            server_->handler_(
                { std::move(*extracted.value()), &buffer_.socket() }, [self, charge](const ServerResponse& response) {
                    charge->end();
                    self->respond(response);
                });
        } catch (const std::exception& problem) {
            // The request may have had an effect, so the caller is told nothing and can repeat it.
            logger.error("Request handler threw an exception; closing the connection",
                { { "target", target }, { "reason", problem.what() } });
            close();
        }
    }

    void noteAnnouncedRequest()
    {
        const auto announced = announcedRequest(buffer_.received(), server_->limits_.message);
        if (!announced || !announced.value())
            return;
        messageBytes_ = announced.value()->bytes;
        if (!announced.value()->expectsContinue)
            return;
        // Fits into the socket's buffer, since no response is unsent.
        buffer_.appendUnsent("HTTP/1.1 100 Continue\r\n\r\n");
        if (buffer_.send() == SocketBuffer::ConnectionState::Closed)
            close();
    }

    std::string format(const ServerResponse& response) const
    {
        Poco::Net::HTTPResponse head(
            Poco::Net::HTTPMessage::HTTP_1_1, static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
        head.setContentLength(static_cast<std::streamsize>(response.body.size()));
        if (!response.body.empty())
            head.setContentType(response.contentType);
        for (const auto& [name, value] : response.headers)
            head.set(name, value);
        head.setKeepAlive(!closeAfterSend_);
        if (response.closeConnection)
            head.set("Connection", "close");
        std::ostringstream out;
        head.write(out);
        const std::size_t length = response.body.size() - std::min(response.truncateBodyBy, response.body.size());
        const std::string message = out.str() + response.body.substr(0, length);
        return response.duplicate ? message + message : message;
    }

    void respond(const ServerResponse& response)
    {
        if (!server_)
            return;
        const auto self = shared_from_this();
        requestInProgress_ = false;
        noteActivity();
        if (response.closeWithoutAnswer) {
            close();
            return;
        }
        if (server_->draining_ || response.closeConnection || response.truncateBodyBy > 0)
            closeAfterSend_ = true;
        buffer_.appendUnsent(format(response));
        if (buffer_.send() == SocketBuffer::ConnectionState::Closed) {
            close();
            return;
        }
        buffer_.releaseMemory();
        if (buffer_.hasUnsent()) {
            responseProgressAt_ = activeAt_;
            watch(false, true);
        } else if (closeAfterSend_) {
            close();
            return;
        } else {
            watch(true, false);
            if (!buffer_.received().empty() && !nextScheduled_) {
                nextScheduled_ = true;
                server_->loop_.after(Milliseconds(0), [self] {
                    self->nextScheduled_ = false;
                    self->serveNext();
                    self->updateBudget();
                });
            }
        }
        startStage();
        updateBudget();
    }

    LoopHttpServer* server_; // null once closed
    ConnectionBudget::Id id_;
    std::string peer_;
    SocketBuffer buffer_;
    Milliseconds openedAt_;
    Milliseconds activeAt_; // when something last arrived or was sent
    ConnectionStage stage_ = ConnectionStage::Unused;
    Milliseconds stageSince_;
    std::size_t messageBytes_ = 0; // size of the request that is arriving; 0 while its head is not complete
    Milliseconds progressCheckedAt_ { std::numeric_limits<std::int64_t>::min() };
    std::size_t progressBytes_ = 0; // received of the request at progressCheckedAt_
    Milliseconds responseProgressAt_ { 0 }; // when the client last read a part of the unsent response
    bool reading_ = true; // the socket is watched for reading
    bool writing_ = false;
    bool served_ = false;
    bool nextScheduled_ = false; // bytes that arrived with the last request are handled in the next iteration
    bool requestInProgress_ = false;
    bool closeAfterSend_ = false;
};

class LoopHttpServer::Listener final : public SocketHandler {
public:
    explicit Listener(LoopHttpServer& server)
        : server_(server)
    {
    }

    void onReadable() override { server_.accept(acceptsPerIteration); }
    void onWritable() override { }

private:
    LoopHttpServer& server_;
};

Result<std::unique_ptr<LoopHttpServer>> LoopHttpServer::listen(
    EventLoop& loop, const std::string& address, const ConnectionLimits& limits, RequestHandler handler)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address), true);
        // The accepted sockets inherit the sizes.
        if (limits.kernelBufferBytes > 0)
            socket.setReceiveBufferSize(static_cast<int>(limits.kernelBufferBytes));
        if (limits.kernelSendBufferBytes > 0)
            socket.setSendBufferSize(static_cast<int>(limits.kernelSendBufferBytes));
        socket.listen(listenBacklog);
        socket.setBlocking(false);
        return std::unique_ptr<LoopHttpServer>(new LoopHttpServer(loop, socket, limits, std::move(handler)));
    } catch (const Poco::Exception& problem) {
        return makeError(ErrorCode::Unavailable, "cannot listen on " + address + ": " + problem.displayText());
    }
}

LoopHttpServer::LoopHttpServer(
    EventLoop& loop, const Poco::Net::ServerSocket& socket, const ConnectionLimits& limits, RequestHandler handler)
    : loop_(loop)
    , socket_(socket)
    , address_(socket.address().toString())
    , limits_(limits)
    , budget_(std::make_shared<ConnectionBudget>(limits))
    , refusalFormat_(jsonRefusal)
    , handler_(std::move(handler))
    , listener_(std::make_shared<Listener>(*this))
{
    loop_.watch(socket_, false, listener_);
    if (limits_.headTimeout > Milliseconds(0) || limits_.responseTimeout > Milliseconds(0))
        scheduleProgressCheck();
}

LoopHttpServer::~LoopHttpServer()
{
    if (idleTimer_ != 0)
        loop_.cancel(idleTimer_);
    if (progressTimer_ != 0)
        loop_.cancel(progressTimer_);
    if (listening_) {
        loop_.unwatch(socket_);
        socket_.close();
    }
    for (const auto& connection : openConnections())
        connection->close();
}

std::vector<std::shared_ptr<LoopHttpServer::Connection>> LoopHttpServer::openConnections() const
{
    std::vector<std::shared_ptr<Connection>> open;
    for (const auto& [id, connection] : connections_)
        open.push_back(connection);
    return open;
}

void LoopHttpServer::accept(int maximum)
{
    try {
        for (int count = 0; count < maximum && socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
             ++count) {
            Poco::Net::SocketAddress peer;
            const Poco::Net::StreamSocket socket = socket_.acceptConnection(peer);
            const auto connection
                = std::make_shared<Connection>(*this, ++lastConnection_, socket, peer.host().toString());
            connections_.emplace(lastConnection_, connection);
            try {
                connection->start();
            } catch (const Poco::Exception&) {
                connection->close();
                throw;
            }
            enforceBudget();
        }
    } catch (const Poco::Exception& problem) {
        logger.warning("Failed to accept a connection", { { "reason", problem.displayText() } });
    }
}

void LoopHttpServer::enforceBudget()
{
    while (const auto choice = budget_->connectionToClose(loop_.clock().monotonic())) {
        const auto connection = connections_.at(choice->connection);
        connection->closeFor(
            choice->cause == ConnectionBudget::Cause::Connections ? "connection-budget" : "receive-budget");
    }
}

void LoopHttpServer::scheduleProgressCheck()
{
    progressTimer_ = loop_.after(progressCheckInterval, [this] {
        scheduleProgressCheck();
        const Milliseconds now = loop_.clock().monotonic();
        for (const auto& connection : openConnections())
            connection->checkProgress(now);
    });
}

void LoopHttpServer::closeIdleConnections(Milliseconds limit)
{
    idleLimit_ = limit;
    scheduleIdleCheck();
}

void LoopHttpServer::scheduleIdleCheck()
{
    idleTimer_ = loop_.after(idleLimit_ / idleChecksPerLimit, [this] {
        scheduleIdleCheck();
        const Milliseconds since = loop_.clock().monotonic() - idleLimit_;
        std::uint64_t closed = 0;
        for (const auto& connection : openConnections()) {
            if (!connection->idleSince(since))
                continue;
            connection->close();
            ++closed;
        }
        if (closed == 0)
            return;
        idleConnectionsClosed_ += closed;
        logger.info("Idle connections are closed",
            { { "address", address_ }, { "closed", closed }, { "open", connections_.size() },
                { "idleForMs", idleLimit_.count() } });
    });
}

void LoopHttpServer::drain()
{
    draining_ = true;
    if (listening_) {
        accept(std::numeric_limits<int>::max()); // accepts connections that the kernel has already established
        loop_.unwatch(socket_);
        socket_.close();
        listening_ = false;
    }
    for (const auto& connection : openConnections())
        connection->drain();
}

} // namespace rosemarylink::reactor
