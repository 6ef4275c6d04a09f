#include "rosemarylink/reactor/HttpMessage.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>

#include <array>
#include <cerrno>
#include <limits>
#include <sys/socket.h>

namespace rosemarylink::reactor {

namespace {

    template <typename Head>
    Result<std::optional<HttpMessage<Head>>> extractMessage(std::string& bytes, const MessageLimits& limits)
    {
        const std::size_t headEnd = bytes.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            if (bytes.size() > limits.headerBytes)
                return invalidArgument("the message head exceeds " + std::to_string(limits.headerBytes) + " bytes");
            return std::optional<HttpMessage<Head>>();
        }
        const std::size_t bodyStart = headEnd + 4;
        if (bodyStart > limits.headerBytes)
            return invalidArgument("the message head exceeds " + std::to_string(limits.headerBytes) + " bytes");
        HttpMessage<Head> message;
        try {
            Poco::MemoryInputStream stream(bytes.data(), static_cast<std::streamsize>(bodyStart));
            message.head.read(stream);
        } catch (const Poco::Exception& problem) {
            return invalidArgument("the message head is not HTTP: " + problem.displayText());
        }
        if (message.head.getChunkedTransferEncoding())
            return invalidArgument("transfer codings are not supported; send Content-Length");
        std::int64_t length = 0;
        try {
            if (message.head.hasContentLength())
                length = message.head.getContentLength64();
        } catch (const Poco::Exception&) {
            return invalidArgument("Content-Length is not a number");
        }
        if (length < 0 || static_cast<std::size_t>(length) > limits.bodyBytes)
            return invalidArgument("the body exceeds " + std::to_string(limits.bodyBytes) + " bytes");
        if (bytes.size() - bodyStart < static_cast<std::size_t>(length))
            return std::optional<HttpMessage<Head>>();
        message.body = bytes.substr(bodyStart, static_cast<std::size_t>(length));
        bytes.erase(0, bodyStart + static_cast<std::size_t>(length));
        return std::optional<HttpMessage<Head>>(std::move(message));
    }

} // namespace

SocketBuffer::SocketBuffer(const Poco::Net::StreamSocket& socket)
    : socket_(socket)
{
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
}

// Uses the system calls directly because POCO's wrappers report full, empty and broken sockets by exceptions, which
// cost more than the call itself on this path.
SocketBuffer::ConnectionState SocketBuffer::receive()
{
    std::array<char, 16384> chunk {};
    while (true) {
        const ssize_t count = ::recv(socket_.impl()->sockfd(), chunk.data(), chunk.size(), 0);
        if (count > 0) {
            received_.append(chunk.data(), static_cast<std::size_t>(count));
            if (static_cast<std::size_t>(count) < chunk.size())
                return ConnectionState::Open;
            continue;
        }
        if (count < 0 && errno == EINTR)
            continue;
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? ConnectionState::Open : ConnectionState::Closed;
    }
}

SocketBuffer::ConnectionState SocketBuffer::send()
{
    std::size_t sent = 0;
    ConnectionState state = ConnectionState::Open;
    while (sent < unsent_.size()) {
        const ssize_t count
            = ::send(socket_.impl()->sockfd(), unsent_.data() + sent, unsent_.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno == EINTR)
            continue;
        if (!(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
            state = ConnectionState::Closed;
        break;
    }
    unsent_.erase(0, sent);
    return state;
}

Result<std::optional<HttpMessage<Poco::Net::HTTPRequest>>> extractRequest(
    std::string& bytes, const MessageLimits& limits)
{
    return extractMessage<Poco::Net::HTTPRequest>(bytes, limits);
}

Result<std::optional<HttpMessage<Poco::Net::HTTPResponse>>> extractResponse(
    std::string& bytes, const MessageLimits& limits)
{
    return extractMessage<Poco::Net::HTTPResponse>(bytes, limits);
}

} // namespace rosemarylink::reactor
