#include "rosemarylink/reactor/HttpMessage.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <poll.h>
#include <sys/socket.h>

namespace rosemarylink::reactor {

namespace {

    // Buffers up to this size are kept for the next message. They count as held: with 32 KB, 640 idle connections used
    // up the 20 MB of the smallest machine. Two buffers of each of its 1,280 connections now keep at most 5 MB.
    constexpr std::size_t keptBufferBytes = 2 * 1024;

    template <typename Head> struct ParsedHead {
        Head head;
        std::size_t headBytes = 0;
        std::size_t bodyBytes = 0;
    };

    template <typename Head>
    Result<std::optional<ParsedHead<Head>>> parseHead(const std::string& bytes, const MessageLimits& limits)
    {
        const std::size_t headEnd = bytes.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            if (bytes.size() > limits.headerBytes)
                return invalidArgument("the message head exceeds " + std::to_string(limits.headerBytes) + " bytes");
            return std::optional<ParsedHead<Head>>();
        }
        ParsedHead<Head> parsed;
        parsed.headBytes = headEnd + 4;
        if (parsed.headBytes > limits.headerBytes)
            return invalidArgument("the message head exceeds " + std::to_string(limits.headerBytes) + " bytes");
        try {
            Poco::MemoryInputStream stream(bytes.data(), static_cast<std::streamsize>(parsed.headBytes));
            parsed.head.read(stream);
        } catch (const Poco::Exception& problem) {
            return invalidArgument("the message head is not HTTP: " + problem.displayText());
        }
        if (parsed.head.getChunkedTransferEncoding())
            return invalidArgument("transfer codings are not supported; send Content-Length");
        std::int64_t length = 0;
        try {
            if (parsed.head.hasContentLength())
                length = parsed.head.getContentLength64();
        } catch (const Poco::Exception&) {
            return invalidArgument("Content-Length is not a number");
        }
        if (length < 0)
            return invalidArgument("Content-Length is negative");
        if (static_cast<std::size_t>(length) > limits.bodyBytes) {
            return makeError(
                ErrorCode::ResourceExhausted, "the body exceeds " + std::to_string(limits.bodyBytes) + " bytes");
        }
        parsed.bodyBytes = static_cast<std::size_t>(length);
        return std::optional<ParsedHead<Head>>(std::move(parsed));
    }

    template <typename Head>
    Result<std::optional<HttpMessage<Head>>> extractMessage(std::string& bytes, const MessageLimits& limits)
    {
        BOOST_OUTCOME_TRY(parsed, parseHead<Head>(bytes, limits));
        if (!parsed || bytes.size() - parsed->headBytes < parsed->bodyBytes)
            return std::optional<HttpMessage<Head>>();
        HttpMessage<Head> message { std::move(parsed->head), bytes.substr(parsed->headBytes, parsed->bodyBytes) };
        bytes.erase(0, parsed->headBytes + parsed->bodyBytes);
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
SocketBuffer::ConnectionState SocketBuffer::receive() { return receiveSome(std::numeric_limits<std::size_t>::max()); }

SocketBuffer::ConnectionState SocketBuffer::receiveSome(std::size_t limit)
{
    std::array<char, 16384> chunk; // not initialized, since it is written before it is read
    while (true) {
        const std::size_t wanted = std::min(limit, chunk.size());
        const ssize_t count = ::recv(socket_.impl()->sockfd(), chunk.data(), wanted, 0);
        if (count > 0) {
            received_.append(chunk.data(), static_cast<std::size_t>(count));
            limit -= static_cast<std::size_t>(count);
            if (static_cast<std::size_t>(count) < wanted || limit == 0)
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

bool SocketBuffer::failed() const
{
    pollfd state { socket_.impl()->sockfd(), 0, 0 };
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0;
}

void SocketBuffer::reserveReceived(std::size_t bytes)
{
    if (bytes <= received_.capacity())
        return;
    std::string larger; // a new string, since reserve() of one in use may double its capacity
    larger.reserve(bytes);
    larger.append(received_);
    received_.swap(larger);
}

void SocketBuffer::releaseMemory()
{
    for (std::string* buffer : { &received_, &unsent_ }) {
        if (buffer->capacity() > keptBufferBytes && buffer->size() <= keptBufferBytes)
            buffer->shrink_to_fit();
    }
}

Result<std::optional<AnnouncedRequest>> announcedRequest(const std::string& bytes, const MessageLimits& limits)
{
    BOOST_OUTCOME_TRY(parsed, parseHead<Poco::Net::HTTPRequest>(bytes, limits));
    if (!parsed)
        return std::optional<AnnouncedRequest>();
    return std::optional(AnnouncedRequest { parsed->headBytes + parsed->bodyBytes, parsed->head.getExpectContinue() });
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
