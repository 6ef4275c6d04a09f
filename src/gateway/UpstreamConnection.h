#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/StrongId.h"

#include <Poco/Net/HTTPClientSession.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylink::gateway::internal {

// A request as it is sent to an upstream.
struct UpstreamRequest {
    RequestId id;
    std::string contentType;
    std::string body;
};

// A complete response whose request id matches the request.
struct UpstreamResponse {
    int status = 0;
    bool refused = false; // the upstream refused the request without running it
    std::optional<std::int64_t> slotsBusy; // as reported by the upstream
    std::string contentType;
    std::string body;
};

// An upstream address of the form "IP:port/prefix".
struct UpstreamAddress {
    std::string host;
    int port = 0;
    std::string prefix;
};

Result<UpstreamAddress> parseUpstreamAddress(const std::string&);

// One connection to an upstream, with one request at a time. Call connect first. After a failure of any method the
// connection cannot be used again. Not safe to use from several threads.
class UpstreamConnection {
public:
    UpstreamConnection(UpstreamAddress, std::size_t maximumResponseBytes);
    ~UpstreamConnection();

    // Fails with Unavailable and NotRun.
    Status connect(Milliseconds timeout);

    // Sends an OPTIONS request and waits for any response, to verify that the connection is alive. Fails with
    // Unavailable and NotRun.
    Status probe(Milliseconds timeout);

    // Sends a request. Fails with Unavailable and MayHaveRun, since part of the request may have been sent.
    Status send(const UpstreamRequest&, Milliseconds timeout);

    // Reads the response to the last request, within the timeout and without a pause longer than stallTimeout. Fails
    // with Unavailable and MayHaveRun when the response is missing, incomplete, too long or belongs to another request,
    // and with DeadlineExceeded and MayHaveRun after the timeout.
    Result<UpstreamResponse> receive(Milliseconds timeout, Milliseconds stallTimeout);

    // Returns true when the connection is open and no unexpected data has arrived.
    bool isReusable();

    Poco::Net::Socket socket();

private:
    class Session;

    Result<UpstreamResponse> readResponse(Milliseconds timeout, Milliseconds stallTimeout);
    Result<UpstreamResponse> parseHead(const Poco::Net::HTTPResponse&) const;

    UpstreamAddress address_;
    std::size_t maximumResponseBytes_;
    std::unique_ptr<Session> session_;
    RequestId current_;
    bool broken_ = false;
};

} // namespace rosemarylink::gateway::internal
