#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/StrongId.h"

#include <Poco/Net/HTTPClientSession.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylink::gateway::internal {

// A request as it goes to an upstream.
struct UpstreamRequest {
    RequestId id;
    std::string contentType;
    std::string body;
};

// A whole answer that belongs to the request it was asked for.
struct UpstreamAnswer {
    int status = 0;
    bool refused = false; // not run
    std::optional<std::int64_t> slotsBusy; // as the upstream reports
    std::string contentType;
    std::string body;
};

// "IP:port/prefix" of an upstream.
struct UpstreamAddress {
    std::string host;
    int port = 0;
    std::string prefix;
};

Result<UpstreamAddress> parseUpstreamAddress(const std::string&);

// One connection to an upstream, with one request at a time. Not safe to use from several threads. After a failure the
// connection cannot be used again.
class UpstreamConnection {
public:
    UpstreamConnection(UpstreamAddress, std::size_t maximumAnswer);
    ~UpstreamConnection();

    // Fails with Unavailable and NotRun.
    Status connect(Milliseconds timeout);

    // Asks for an answer of any kind; proves that the connection is not silent. Fails with Unavailable and NotRun.
    Status probe(Milliseconds timeout);

    // Sends a request. Fails with Unavailable: NotRun when no byte has left, otherwise MayHaveRun.
    Status send(const UpstreamRequest&, Milliseconds timeout);

    // Reads the answer to the request sent last, within the time and without a pause longer than stallTimeout. Fails
    // with Unavailable and MayHaveRun when the answer is missing, incomplete, too long or belongs to another request,
    // and with DeadlineExceeded and MayHaveRun when the time is over.
    Result<UpstreamAnswer> receive(Milliseconds timeout, Milliseconds stallTimeout);

    // True when it is connected and nothing unasked-for has arrived.
    bool isReusable();

    Poco::Net::Socket socket();

private:
    class Session;

    Result<UpstreamAnswer> readAnswer(Milliseconds timeout, Milliseconds stallTimeout);
    Result<UpstreamAnswer> readHead(const Poco::Net::HTTPResponse&) const;

    UpstreamAddress address_;
    std::size_t maximumAnswer_;
    std::unique_ptr<Session> session_;
    RequestId current_;
    bool broken_ = false;
};

} // namespace rosemarylink::gateway::internal
