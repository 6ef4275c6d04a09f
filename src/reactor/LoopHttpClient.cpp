#include "rosemarylink/reactor/LoopHttpClient.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <optional>
#include <sstream>

namespace rosemarylink::reactor {

namespace {

    // Limit on idle connections per address; further ones are closed.
    constexpr std::size_t maximumIdleConnections = 8;

    std::string describe(const std::exception& problem)
    {
        const auto* const detailed = dynamic_cast<const Poco::Exception*>(&problem);
        return detailed ? detailed->displayText() : problem.what();
    }

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

    // Does not throw. The handler is called later whatever fails.
    void start(const ClientRequest& request, ResponseHandler handler)
    {
        handler_ = std::move(handler);
        timeout_ = request.timeout;
        timeoutScope_ = request.timeoutScope;
        restartTimeout();
        if (const std::optional<std::string> problem = problemIn([&] { return sendRequest(request); })) {
            close(); // nothing else may end the request before the handler is called
            client_.loop_.after(Milliseconds(0), [self = shared_from_this(), problem] { self->fail(*problem); });
        }
    }

    void onWritable() override
    {
        if (const std::optional<std::string> problem = problemIn([this] { return sendUnsent(); }))
            fail(*problem);
    }

    void onReadable() override
    {
        if (!handler_) { // an idle connection is readable only when the peer has closed it
            removeIdle();
            return;
        }
        std::optional<ReceivedResponse> received;
        if (const std::optional<std::string> problem = problemIn([&] { return receive(received); })) {
            fail(*problem);
            return;
        }
        if (!received)
            return;
        client_.loop_.cancel(timer_);
        const ResponseHandler handler = std::exchange(handler_, nullptr);
        if (received->reusable)
            client_.release(shared_from_this());
        else
            close();
        handler(std::move(received->response));
    }

    void close()
    {
        client_.loop_.unwatch(buffer_.socket());
        buffer_.socket().close();
    }

private:
    struct ReceivedResponse {
        ClientResponse response;
        bool reusable = false; // whether the connection can be used for another request
    };

    // Runs a part of the exchange that returns why the request has failed, if it has. An exception counts as a failure.
    template <typename Part> static std::optional<std::string> problemIn(Part part)
    {
        try {
            return part();
        } catch (const std::exception& problem) {
            return describe(problem);
        }
    }

    std::optional<std::string> sendRequest(const ClientRequest& request)
    {
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
        if (connected_ && buffer_.send() == SocketBuffer::ConnectionState::Closed)
            return "the connection is closed";
        client_.loop_.watch(buffer_.socket(), buffer_.hasUnsent() || !connected_, shared_from_this());
        return std::nullopt;
    }

    std::optional<std::string> sendUnsent()
    {
        if (!connected_ && buffer_.socket().impl()->socketError() != 0)
            return "the connection was not established";
        connected_ = true;
        if (buffer_.send() == SocketBuffer::ConnectionState::Closed)
            return "the connection failed";
        if (!buffer_.hasUnsent())
            client_.loop_.watch(buffer_.socket(), false, shared_from_this());
        return std::nullopt;
    }

    std::optional<std::string> receive(std::optional<ReceivedResponse>& received)
    {
        const std::size_t receivedBefore = buffer_.received().size();
        const bool closed = buffer_.receive() == SocketBuffer::ConnectionState::Closed;
        auto extracted = extractResponse(buffer_.received(), MessageLimits { 64 * 1024, 16 * 1024 * 1024 });
        if (!extracted)
            return extracted.error().message;
        if (std::optional<HttpMessage<Poco::Net::HTTPResponse>>& message = extracted.value()) {
            const bool exchangeEnded = buffer_.received().empty() && !buffer_.hasUnsent();
            received = { { message->head.getStatus(), std::move(message->body) },
                !closed && exchangeEnded && message->head.getKeepAlive() };
            return std::nullopt;
        }
        if (closed)
            return "the connection was closed before the complete response";
        if (timeoutScope_ == TimeoutScope::Progress && buffer_.received().size() > receivedBefore)
            restartTimeout();
        return std::nullopt;
    }

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
    std::shared_ptr<Connection> connection;
    try {
        connection = takeConnection(address, request.connectionUse);
    } catch (const std::exception& problem) {
        loop_.after(Milliseconds(0), [handler = std::move(handler), text = address + ": " + describe(problem)] {
            handler(unavailable(text, Verdict::NotRun));
        });
        return;
    }
    connection->start(request, std::move(handler));
}

// Returns an idle connection if the use allows it and there is one; otherwise opens one.
std::shared_ptr<LoopHttpClient::Connection> LoopHttpClient::takeConnection(
    const std::string& address, ConnectionUse use)
{
    std::list<std::shared_ptr<Connection>>& idle = idle_[address];
    if (use == ConnectionUse::Any && !idle.empty()) {
        std::shared_ptr<Connection> connection = std::move(idle.back());
        idle.pop_back();
        return connection;
    }
    Poco::Net::StreamSocket socket;
    socket.connectNB(Poco::Net::SocketAddress(address));
    ++connectionsOpened_;
    return std::make_shared<Connection>(*this, address, socket);
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
