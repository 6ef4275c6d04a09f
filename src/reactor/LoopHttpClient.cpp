#include "rosemarylink/reactor/LoopHttpClient.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <sstream>

namespace rosemarylink::reactor {

namespace {

    // Limit on idle connections per address; further ones are closed.
    constexpr std::size_t maximumIdleConnections = 8;

} // namespace

class LoopHttpClient::Connection final : public SocketHandler,
                                         public std::enable_shared_from_this<LoopHttpClient::Connection> {
public:
    Connection(LoopHttpClient& client, std::string address, const Poco::Net::StreamSocket& socket)
        : client_(client)
        , address_(std::move(address))
        , buffer_(socket)
    {
    }

    const std::string& address() const { return address_; }

    void start(const ClientRequest& request, ResponseHandler handler)
    {
        handler_ = std::move(handler);
        timeout_ = request.timeout;
        timeoutScope_ = request.timeoutScope;
        Poco::Net::HTTPRequest head(request.method, request.target, Poco::Net::HTTPMessage::HTTP_1_1);
        head.setHost(address_);
        head.setKeepAlive(true);
        for (const auto& [name, value] : request.headers)
            head.set(name, value);
        if (request.method != "GET")
            head.setContentLength(static_cast<std::streamsize>(request.body.size()));
        if (!request.body.empty())
            head.setContentType("application/json");
        std::ostringstream out;
        head.write(out);
        buffer_.appendUnsent(out.str());
        buffer_.appendUnsent(request.body);
        const auto self = shared_from_this();
        restartTimeout();
        if (connected_ && buffer_.send() == SocketBuffer::ConnectionState::Closed) {
            client_.loop_.after(Milliseconds(0), [self] { self->fail("the connection is closed"); });
            return;
        }
        client_.loop_.watch(buffer_.socket(), buffer_.hasUnsent() || !connected_, self);
    }

    void onWritable() override
    {
        if (!connected_ && buffer_.socket().impl()->socketError() != 0) {
            fail("the connection was not established");
            return;
        }
        connected_ = true;
        if (buffer_.send() == SocketBuffer::ConnectionState::Closed) {
            fail("the connection failed");
            return;
        }
        if (!buffer_.hasUnsent())
            client_.loop_.watch(buffer_.socket(), false, shared_from_this());
    }

    void onReadable() override
    {
        const std::size_t receivedBefore = buffer_.received().size();
        const bool closed = buffer_.receive() == SocketBuffer::ConnectionState::Closed;
        if (!handler_) { // an idle connection is readable only when the peer has closed it
            removeIdle();
            return;
        }
        auto extracted = extractResponse(buffer_.received(), MessageLimits { 64 * 1024, 16 * 1024 * 1024 });
        if (!extracted) {
            fail(extracted.error().message);
            return;
        }
        if (!extracted.value()) {
            if (closed)
                fail("the connection was closed before the complete response");
            else if (timeoutScope_ == TimeoutScope::Progress && buffer_.received().size() > receivedBefore)
                restartTimeout();
            return;
        }
        ClientResponse response { extracted.value()->head.getStatus(), std::move(extracted.value()->body) };
        const bool reusable = !closed && extracted.value()->head.getKeepAlive();
        client_.loop_.cancel(timer_);
        const ResponseHandler handler = std::exchange(handler_, nullptr);
        const auto self = shared_from_this();
        if (reusable)
            client_.release(self);
        else
            close();
        handler(std::move(response));
    }

    void close()
    {
        client_.loop_.unwatch(buffer_.socket());
        buffer_.socket().close();
    }

private:
    void removeIdle()
    {
        const auto self = shared_from_this();
        client_.idle_[address_].remove(self);
        close();
    }

    void restartTimeout()
    {
        client_.loop_.cancel(timer_);
        timer_ = client_.loop_.after(timeout_, [self = shared_from_this()] { self->expire(); });
    }

    void expire()
    {
        client_.closeIdleConnections(address_);
        fail("the request timed out with " + std::to_string(buffer_.received().size())
            + " bytes of the response received");
    }

    void fail(const std::string& reason)
    {
        client_.loop_.cancel(timer_);
        close();
        if (!handler_)
            return;
        const ResponseHandler handler = std::exchange(handler_, nullptr);
        handler(unavailable(address_ + ": " + reason, connected_ ? Verdict::MayHaveRun : Verdict::NotRun));
    }

    LoopHttpClient& client_;
    std::string address_;
    SocketBuffer buffer_;
    ResponseHandler handler_;
    EventLoop::TimerId timer_ = 0;
    Milliseconds timeout_ { 0 };
    TimeoutScope timeoutScope_ = TimeoutScope::Progress;
    bool connected_ = false;
};

LoopHttpClient::~LoopHttpClient()
{
    for (const auto& [address, connections] : idle_) {
        for (const auto& connection : connections)
            connection->close();
    }
}

void LoopHttpClient::send(const std::string& address, const ClientRequest& request, ResponseHandler handler)
{
    std::list<std::shared_ptr<Connection>>& idle = idle_[address];
    if (!idle.empty()) {
        const std::shared_ptr<Connection> connection = idle.back();
        idle.pop_back();
        connection->start(request, std::move(handler));
        return;
    }
    try {
        Poco::Net::StreamSocket socket;
        socket.connectNB(Poco::Net::SocketAddress(address));
        ++connectionsOpened_;
        const auto connection = std::make_shared<Connection>(*this, address, socket);
        connection->start(request, std::move(handler));
    } catch (const Poco::Exception& problem) {
        loop_.after(Milliseconds(0), [handler = std::move(handler), text = address + ": " + problem.displayText()] {
            handler(unavailable(text, Verdict::NotRun));
        });
    }
}

void LoopHttpClient::release(const std::shared_ptr<Connection>& connection)
{
    std::list<std::shared_ptr<Connection>>& idle = idle_[connection->address()];
    if (idle.size() >= maximumIdleConnections) {
        connection->close();
        return;
    }
    idle.push_back(connection);
}

void LoopHttpClient::closeIdleConnections(const std::string& address)
{
    const auto position = idle_.find(address);
    if (position == idle_.end())
        return;
    const std::list<std::shared_ptr<Connection>> connections = std::move(position->second);
    idle_.erase(position);
    for (const auto& connection : connections)
        connection->close();
}

} // namespace rosemarylink::reactor
