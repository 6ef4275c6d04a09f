#include "rosemarylink/reactor/LoopHttpServer.h"

#include "rosemarylink/base/Log.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <sstream>

namespace rosemarylink::reactor {

namespace {

    // Limit on connections that wait in the kernel for accept(); callers connect in bursts of a few dozen.
    constexpr int listenBacklog = 256;

    constexpr int idleChecksPerLimit = 8;

    const Logger logger("http");

} // namespace

class LoopHttpServer::Connection final : public SocketHandler,
                                         public std::enable_shared_from_this<LoopHttpServer::Connection> {
public:
    Connection(LoopHttpServer& server, const Poco::Net::StreamSocket& socket)
        : server_(&server)
        , buffer_(socket)
        , activeAt_(server.loop_.clock().monotonic())
    {
    }

    void start() { server_->loop_.watch(buffer_.socket(), false, shared_from_this()); }

    bool busy() { return requestInProgress_ || buffer_.hasUnsent() || !buffer_.received().empty(); }

    void onReadable() override
    {
        noteActivity();
        if (buffer_.receive() == SocketBuffer::ConnectionState::Closed) {
            close();
            return;
        }
        serveNext();
    }

    void onWritable() override
    {
        noteActivity();
        if (buffer_.send() == SocketBuffer::ConnectionState::Closed) {
            close();
            return;
        }
        if (buffer_.hasUnsent())
            return;
        if (closeAfterSend_) {
            close();
            return;
        }
        server_->loop_.watch(buffer_.socket(), false, shared_from_this());
        serveNext();
    }

    // A request that has arrived in part is not in progress: its caller may have gone silent.
    bool idleSince(Milliseconds time) const { return !requestInProgress_ && !buffer_.hasUnsent() && activeAt_ <= time; }

    // Closes the connection if it is idle; otherwise it is closed after the current response.
    void drain()
    {
        if (!busy())
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
        server->connections_.erase(shared_from_this());
    }

private:
    void noteActivity()
    {
        if (server_)
            activeAt_ = server_->loop_.clock().monotonic();
    }

    void serveNext()
    {
        if (!server_ || requestInProgress_ || buffer_.hasUnsent())
            return;
        auto extracted = extractRequest(buffer_.received(), server_->limits_);
        if (!extracted) {
            closeAfterSend_ = true;
            respond({ 400, R"({"error":")" + extracted.error().message + "\"}", {} });
            return;
        }
        if (!extracted.value())
            return;
        requestInProgress_ = true;
        closeAfterSend_ = !extracted.value()->head.getKeepAlive();
        const auto self = shared_from_this();
        const std::string target = extracted.value()->head.getURI();
        try {
            server_->handler_(
                std::move(*extracted.value()), [self](const ServerResponse& response) { self->respond(response); });
        } catch (const std::exception& problem) {
            // The request may have had an effect, so the caller is told nothing and can repeat it.
            logger.error("Request handler threw an exception; closing the connection",
                { { "target", target }, { "reason", problem.what() } });
            close();
        }
    }

    void respond(const ServerResponse& response)
    {
        if (!server_)
            return;
        requestInProgress_ = false;
        noteActivity();
        if (server_->draining_)
            closeAfterSend_ = true;
        Poco::Net::HTTPResponse head(
            Poco::Net::HTTPMessage::HTTP_1_1, static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
        head.setContentLength(static_cast<std::streamsize>(response.body.size()));
        if (!response.body.empty())
            head.setContentType(response.contentType);
        for (const auto& [name, value] : response.headers)
            head.set(name, value);
        head.setKeepAlive(!closeAfterSend_);
        std::ostringstream out;
        head.write(out);
        buffer_.appendUnsent(out.str());
        buffer_.appendUnsent(response.body);
        if (buffer_.send() == SocketBuffer::ConnectionState::Closed) {
            close();
            return;
        }
        if (buffer_.hasUnsent()) {
            server_->loop_.watch(buffer_.socket(), true, shared_from_this());
            return;
        }
        if (closeAfterSend_) {
            close();
            return;
        }
        if (!buffer_.received().empty()) {
            const auto self = shared_from_this();
            server_->loop_.after(Milliseconds(0), [self] { self->serveNext(); });
        }
    }

    LoopHttpServer* server_; // null once closed
    SocketBuffer buffer_;
    Milliseconds activeAt_; // when something last arrived or was sent
    bool requestInProgress_ = false;
    bool closeAfterSend_ = false;
};

class LoopHttpServer::Listener final : public SocketHandler {
public:
    explicit Listener(LoopHttpServer& server)
        : server_(server)
    {
    }

    void onReadable() override { server_.accept(); }
    void onWritable() override { }

private:
    LoopHttpServer& server_;
};

Result<std::unique_ptr<LoopHttpServer>> LoopHttpServer::listen(
    EventLoop& loop, const std::string& address, const MessageLimits& limits, RequestHandler handler)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address), true);
        socket.listen(listenBacklog);
        socket.setBlocking(false);
        return std::unique_ptr<LoopHttpServer>(new LoopHttpServer(loop, socket, limits, std::move(handler)));
    } catch (const Poco::Exception& problem) {
        return makeError(ErrorCode::Unavailable, "cannot listen on " + address + ": " + problem.displayText());
    }
}

LoopHttpServer::LoopHttpServer(
    EventLoop& loop, const Poco::Net::ServerSocket& socket, const MessageLimits& limits, RequestHandler handler)
    : loop_(loop)
    , socket_(socket)
    , address_(socket.address().toString())
    , limits_(limits)
    , handler_(std::move(handler))
    , listener_(std::make_shared<Listener>(*this))
{
    loop_.watch(socket_, false, listener_);
}

LoopHttpServer::~LoopHttpServer()
{
    if (idleTimer_ != 0)
        loop_.cancel(idleTimer_);
    if (listening_) {
        loop_.unwatch(socket_);
        socket_.close();
    }
    const auto open = connections_;
    for (const auto& connection : open)
        connection->close();
}

void LoopHttpServer::accept()
{
    try {
        while (socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            const auto connection = std::make_shared<Connection>(*this, socket_.acceptConnection());
            connections_.insert(connection);
            connection->start();
        }
    } catch (const Poco::Exception& problem) {
        logger.warning("Failed to accept a connection", { { "reason", problem.displayText() } });
    }
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
        const auto open = connections_;
        for (const auto& connection : open) {
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
        accept(); // accepts connections that the kernel has already established
        loop_.unwatch(socket_);
        socket_.close();
        listening_ = false;
    }
    const auto open = connections_;
    for (const auto& connection : open)
        connection->drain();
}

} // namespace rosemarylink::reactor
