#pragma once

#include "rosemarylink/base/Error.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>

// Reading and writing of HTTP messages on sockets that do not block.
namespace rosemarylink::reactor {

struct MessageLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
};

// The bytes that have arrived on a connection and those still to be sent.
class SocketBuffer {
public:
    explicit SocketBuffer(const Poco::Net::StreamSocket& socket);

    enum class Progress { Open, Closed };

    // Takes in what has arrived. Closed means that nothing more will come.
    Progress receive();

    // Sends as much as the socket takes; hasUnsent() tells whether some is left.
    Progress send();

    void append(std::string_view bytes) { unsent_.append(bytes); }
    bool hasUnsent() const { return !unsent_.empty(); }
    std::string& received() { return received_; }
    Poco::Net::StreamSocket& socket() { return socket_; }

private:
    Poco::Net::StreamSocket socket_;
    std::string received_;
    std::string unsent_;
};

// A whole message: its head, parsed by POCO, and its body.
template <typename Head> struct WholeMessage {
    Head head;
    std::string body;
};

// Takes the first whole message off the bytes. Nothing when more bytes are needed; InvalidArgument when they are not
// HTTP, exceed the limits or use a transfer coding, which neither callers nor the platform send.
Result<std::optional<WholeMessage<Poco::Net::HTTPRequest>>> takeRequest(std::string& bytes, const MessageLimits&);
Result<std::optional<WholeMessage<Poco::Net::HTTPResponse>>> takeResponse(std::string& bytes, const MessageLimits&);

} // namespace rosemarylink::reactor
