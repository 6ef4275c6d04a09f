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

    // Sends as many bytes as the socket accepts; hasUnsent() tells whether any are left. Returns Closed when the
    // connection failed.
    ConnectionState send();

    // Adds bytes to the send buffer; send() sends them.
    void appendUnsent(std::string_view bytes) { unsent_.append(bytes); }
    bool hasUnsent() const { return !unsent_.empty(); }
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

// Removes the first complete message from `bytes` and returns it, or returns nullopt if more bytes are needed. Fails
// with InvalidArgument if the bytes are not HTTP, exceed the limits, or use a transfer coding, which is not supported
// because neither callers nor the platform use one.
Result<std::optional<HttpMessage<Poco::Net::HTTPRequest>>> extractRequest(std::string& bytes, const MessageLimits&);
Result<std::optional<HttpMessage<Poco::Net::HTTPResponse>>> extractResponse(std::string& bytes, const MessageLimits&);

} // namespace rosemarylink::reactor
