#include "Proxy.h"

#include "rosemarylink/reactor/HttpMessage.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <utility>

namespace rosemarylink::soak {

using reactor::SocketBuffer;

namespace {

    constexpr Milliseconds reopenDelay { 50 };

    // How long the connection of a client that has closed it stays open for its last bytes.
    constexpr Milliseconds lingerTime { 1000 };

} // namespace

// One connection through the proxy.
class Proxy::Connection final : public std::enable_shared_from_this<Proxy::Connection> {
public:
    Connection(Proxy& proxy, const Poco::Net::StreamSocket& client, const Poco::Net::StreamSocket& server)
        : proxy_(proxy)
        , client_(client)
        , server_(server)
    {
    }

    void start()
    {
        clientSide_ = std::make_shared<Side>(*this, client_, server_, /*requests=*/true);
        serverSide_ = std::make_shared<Side>(*this, server_, client_, /*requests=*/false);
        proxy_.loop_.watch(client_.socket(), false, clientSide_);
        proxy_.loop_.watch(server_.socket(), true, serverSide_);
    }

    void forward()
    {
        clientSide_->forward();
        serverSide_->forward();
        if (clientClosed_ && !proxy_.suspended_)
            proxy_.loop_.after(lingerTime, [self = shared_from_this()] { self->closeAndRemove(); });
    }

    void stall()
    {
        proxy_.loop_.unwatch(client_.socket());
        proxy_.loop_.unwatch(server_.socket());
        closed_ = true;
    }

    void close(bool reset)
    {
        if (!std::exchange(closed_, true))
            stall();
        for (SocketBuffer* const buffer : { &client_, &server_ }) {
            if (reset)
                buffer->socket().setLinger(true, 0);
            buffer->socket().close();
        }
    }

private:
    // Forwards the bytes received on one socket to the other.
    class Side final : public reactor::SocketHandler {
    public:
        Side(Connection& connection, SocketBuffer& from, SocketBuffer& to, bool requests)
            : connection_(connection)
            , from_(from)
            , to_(to)
            , requests_(requests)
        {
        }

        void onReadable() override
        {
            const auto self = connection_.shared_from_this();
            const bool closed = from_.receive() == SocketBuffer::ConnectionState::Closed;
            forward();
            if (closed && requests_ && connection_.proxy_.suspended_ && !connection_.closed_) {
                connection_.clientClosed_ = true;
                connection_.proxy_.loop_.unwatch(from_.socket());
            } else if (closed) {
                connection_.closeAndRemove();
            }
        }

        void onWritable() override
        {
            const auto self = connection_.shared_from_this();
            if (from_.send() == SocketBuffer::ConnectionState::Closed)
                connection_.closeAndRemove();
            else if (!from_.hasUnsent())
                connection_.proxy_.loop_.watch(from_.socket(), false, connection_.handlerOf(requests_));
        }

        void forward()
        {
            const ProxyFault& fault = connection_.proxy_.fault_;
            const bool holds = connection_.proxy_.suspended_ || (requests_ ? fault.holdRequests : fault.holdAnswers);
            if (connection_.closed_ || from_.received().empty() || holds)
                return;
            const std::string bytes = std::exchange(from_.received(), "");
            const Milliseconds delay = fault.delay + randomDelay(fault);
            if (delay == Milliseconds(0) && pendingSends_ == 0) {
                send(bytes);
                return;
            }
            ++pendingSends_; // keeps later bytes in order behind these
            const Milliseconds now = connection_.proxy_.clock_.monotonic();
            sendAt_ = std::max(sendAt_, now + delay);
            connection_.proxy_.loop_.after(sendAt_ - now, [self = connection_.shared_from_this(), this, bytes] {
                --pendingSends_;
                send(bytes);
            });
        }

    private:
        Milliseconds randomDelay(const ProxyFault& fault)
        {
            const auto longest = static_cast<int>(fault.longestRandomDelay.count());
            return Milliseconds(
                requests_ ? 0 : std::uniform_int_distribution<>(0, longest)(connection_.proxy_.random_));
        }

        void send(const std::string& bytes)
        {
            if (connection_.closed_ || (!requests_ && connection_.clientClosed_))
                return;
            to_.appendUnsent(bytes);
            connection_.proxy_.loop_.watch(to_.socket(), true, connection_.handlerOf(!requests_));
        }

        Connection& connection_;
        SocketBuffer& from_;
        SocketBuffer& to_;
        const bool requests_;
        int pendingSends_ = 0;
        Milliseconds sendAt_ { 0 }; // when the last bytes that were delayed are sent
    };

    std::shared_ptr<Side> handlerOf(bool requests) const { return requests ? clientSide_ : serverSide_; }

    void closeAndRemove()
    {
        if (closed_)
            return;
        const auto self = shared_from_this();
        proxy_.connections_.erase(self);
        close(/*reset=*/false);
    }

    Proxy& proxy_;
    SocketBuffer client_;
    SocketBuffer server_;
    std::shared_ptr<Side> clientSide_;
    std::shared_ptr<Side> serverSide_;
    bool closed_ = false;
    bool clientClosed_ = false; // while requests were held
};

class Proxy::Acceptor final : public reactor::SocketHandler {
public:
    explicit Acceptor(Proxy& proxy)
        : proxy_(proxy)
    {
    }
    void onReadable() override { proxy_.accept(); }
    void onWritable() override { }

private:
    Proxy& proxy_;
};

Proxy::Proxy(reactor::EventLoop& loop, std::string target)
    : loop_(loop)
    , target_(std::move(target))
    , socket_(Poco::Net::SocketAddress("127.0.0.1:0"))
    , address_(socket_.address().toString())
    , acceptor_(std::make_shared<Acceptor>(*this))
{
    loop_.watch(socket_, false, acceptor_);
}

Proxy::~Proxy()
{
    setOpen(false);
    breakConnections(/*reset=*/true);
    for (const auto& connection : stalled_)
        connection->close(/*reset=*/true);
}

void Proxy::accept()
{
    const Poco::Net::StreamSocket client = socket_.acceptConnection();
    try {
        Poco::Net::StreamSocket server;
        server.connectNB(Poco::Net::SocketAddress(target_));
        const auto connection = std::make_shared<Connection>(*this, client, server);
        connections_.insert(connection);
        connection->start();
    } catch (const Poco::Exception&) {
        // The server is unreachable; the client's connection is closed.
    }
}

void Proxy::setOpen(bool open)
{
    open_ = open;
    if (open) {
        reopen();
    } else if (std::exchange(listening_, false)) {
        loop_.unwatch(socket_);
        socket_.close();
    }
}

// Another process may have taken the port for a moment.
void Proxy::reopen()
{
    if (!open_ || listening_)
        return;
    try {
        socket_ = Poco::Net::ServerSocket(Poco::Net::SocketAddress(address_));
        loop_.watch(socket_, false, acceptor_);
        listening_ = true;
    } catch (const Poco::Exception&) {
        loop_.after(reopenDelay, [this] { reopen(); });
    }
}

void Proxy::setFault(const ProxyFault& fault)
{
    fault_ = fault;
    forwardAll();
}

void Proxy::setSuspended(bool suspended)
{
    suspended_ = suspended;
    forwardAll();
}

void Proxy::forwardAll()
{
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->forward();
}

void Proxy::breakConnections(bool reset)
{
    const auto connections = std::exchange(connections_, {});
    for (const auto& connection : connections) {
        if (reset) {
            connection->close(/*reset=*/true);
        } else {
            connection->stall();
            stalled_.insert(connection);
        }
    }
}

ProxyGroup::ProxyGroup(reactor::EventLoop& loop, const std::string& target, int paths)
{
    for (int count = 0; count < paths; ++count)
        paths_.push_back(std::make_unique<Proxy>(loop, target));
}

void ProxyGroup::setFault(const ProxyFault& fault)
{
    for (const auto& path : paths_)
        path->setFault(fault);
}

void ProxyGroup::breakConnections(bool reset)
{
    for (const auto& path : paths_)
        path->breakConnections(reset);
}

void ProxyGroup::setOpen(bool open)
{
    for (const auto& path : paths_)
        path->setOpen(open);
}

bool ProxyGroup::isOpen() const
{
    return std::all_of(paths_.begin(), paths_.end(), [](const auto& path) { return path->isOpen(); });
}

void ProxyGroup::setSuspended(bool suspended)
{
    for (const auto& path : paths_)
        path->setSuspended(suspended);
}

} // namespace rosemarylink::soak
