#pragma once

#include "rosemarylink/base/Error.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>

// Reading and writing of HTTP messages on non-blocking sockets.
namespace rosemarylink::reactor {

struct MessageLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
};

// Receive and send buffers of a connection. Makes the socket non-blocking.
class SocketBuffer {
public:
    explicit SocketBuffer(const Poco::Net::StreamSocket& socket);

    enum class ConnectionState { Open, Closed };

    // Appends all available bytes to received(). Returns Closed when the peer has closed the connection or it failed.
    ConnectionState receive();

    // Like receive(), but appends at most `limit` bytes, so that one call is bounded however fast the peer sends.
    ConnectionState receiveSome(std::size_t limit);

    // Sends as many bytes as the socket accepts; hasUnsent() tells whether any are left. Returns Closed when the
    // connection failed.
    ConnectionState send();

    // Tells whether the connection has failed or both directions are closed. Reads nothing.
    bool failed() const;

    // Adds bytes to the send buffer; send() sends them.
    void appendUnsent(std::string_view bytes) { unsent_.append(bytes); }
    bool hasUnsent() const { return !unsent_.empty(); }
    std::size_t unsentBytes() const { return unsent_.size(); }

    // Memory of the received and unsent bytes, including what the buffers have reserved.
    std::size_t memory() const { return received_.capacity() + unsent_.capacity(); }

    // Makes room for this many received bytes in all, and no more.
    void reserveReceived(std::size_t bytes);

    // Returns the memory of empty or nearly empty buffers that have held a large message.
    void releaseMemory();

    std::string& received() { return received_; }
    Poco::Net::StreamSocket& socket() { return socket_; }

private:
    Poco::Net::StreamSocket socket_;
    std::string received_;
    std::string unsent_;
};

// The start line and headers of a message, as a Poco::Net::HTTPRequest or HTTPResponse, and its body.
template <typename Head> struct HttpMessage {
    Head head;
    std::string body;
};

struct AnnouncedRequest {
    std::size_t bytes = 0; // head and body
    bool expectsContinue = false; // the client waits for a 100 response before it sends the body
};

// Returns what the head of the first message in `bytes` announces, or nullopt if the head is not complete. Fails like
// extractRequest().
Result<std::optional<AnnouncedRequest>> announcedRequest(const std::string& bytes, const MessageLimits&);

// Removes the first complete message from `bytes` and returns it, or returns nullopt if more bytes are needed. Fails
// with InvalidArgument if the bytes are not HTTP, exceed the limit on the head, or use a transfer coding, which is not
// supported because neither callers nor the platform use one, and with ResourceExhausted as soon as a complete head
// announces a body over the limit.
Result<std::optional<HttpMessage<Poco::Net::HTTPRequest>>> extractRequest(std::string& bytes, const MessageLimits&);
Result<std::optional<HttpMessage<Poco::Net::HTTPResponse>>> extractResponse(std::string& bytes, const MessageLimits&);

} // namespace rosemarylink::reactor
