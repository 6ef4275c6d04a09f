#include "UpstreamConnection.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <istream>
#include <utility>

namespace rosemarylink::gateway::internal {

namespace {

    Poco::Timespan timespan(Milliseconds time)
    {
        return Poco::Timespan(std::max<std::int64_t>(1, time.count()) * 1000);
    }

    std::int64_t steadyMilliseconds()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    }

    // Poco's session reconnects on its own after the keep-alive time-out, which would break the order of connect,
    // record and send that at-most-once execution needs. So this is longer than any request, and the pool limits the
    // idle time.
    constexpr int keepAliveTimeoutSeconds = 86400;
    // Socket time-outs may fire slightly early.
    constexpr std::int64_t timerSlack = 5; // ms

} // namespace

Result<UpstreamAddress> parseUpstreamAddress(const std::string& text)
{
    const auto slash = text.find('/');
    const std::string authority = text.substr(0, slash);
    const auto colon = authority.rfind(':');
    unsigned port = 0;
    if (colon == std::string::npos || colon == 0
        || !Poco::NumberParser::tryParseUnsigned(authority.substr(colon + 1), port) || port == 0 || port > 65535)
        return invalidArgument("the upstream address \"" + text + "\" must be IP:port/prefix");
    std::string prefix = slash == std::string::npos ? "" : text.substr(slash);
    while (!prefix.empty() && prefix.back() == '/')
        prefix.pop_back();
    return UpstreamAddress { authority.substr(0, colon), static_cast<int>(port), prefix };
}

class UpstreamConnection::Session final : public Poco::Net::HTTPClientSession {
public:
    using HTTPClientSession::HTTPClientSession;
    using HTTPSession::buffered;
};

UpstreamConnection::UpstreamConnection(UpstreamAddress address, std::size_t maximumResponseBytes)
    : address_(std::move(address))
    , maximumResponseBytes_(maximumResponseBytes)
{
}

UpstreamConnection::~UpstreamConnection() = default;

Status UpstreamConnection::connect(Milliseconds timeout)
{
    try {
        session_ = std::make_unique<Session>(address_.host, static_cast<Poco::UInt16>(address_.port));
        session_->setKeepAlive(true);
        session_->setKeepAliveTimeout(Poco::Timespan(keepAliveTimeoutSeconds, 0));
        session_->socket().connect(
            Poco::Net::SocketAddress(address_.host, static_cast<Poco::UInt16>(address_.port)), timespan(timeout));
        session_->socket().setNoDelay(true);
        // TCP keep-alive probes detect a peer host that failed without closing its connections.
        session_->socket().setKeepAlive(true);
        return okStatus();
    } catch (const Poco::Exception& exception) {
        broken_ = true;
        return unavailable(
            "no connection to " + address_.host + ":" + std::to_string(address_.port) + ": " + exception.displayText(),
            Verdict::NotRun);
    }
}

Status UpstreamConnection::probe(Milliseconds timeout)
{
    try {
        session_->socket().setReceiveTimeout(timespan(timeout));
        Poco::Net::HTTPRequest request(
            Poco::Net::HTTPRequest::HTTP_OPTIONS, address_.prefix + "/run", Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(0);
        session_->sendRequest(request).flush();
        Poco::Net::HTTPResponse response;
        std::istream& input = session_->receiveResponse(response);
        input.ignore(static_cast<std::streamsize>(maximumResponseBytes_));
        // A response with a request id belongs to an earlier request, so the connection is out of step.
        if (response.getKeepAlive() && !response.has("Rosemarylink-Request-Id") && isReusable())
            return okStatus();
    } catch (const Poco::Exception&) {
        // Reported below without the cause, since the connection is closed.
    }
    broken_ = true;
    return unavailable("the idle connection did not respond to a probe", Verdict::NotRun);
}

Status UpstreamConnection::send(const UpstreamRequest& upstreamRequest, Milliseconds timeout)
{
    current_ = upstreamRequest.id;
    try {
        session_->socket().setSendTimeout(timespan(timeout));
        Poco::Net::HTTPRequest request(
            Poco::Net::HTTPRequest::HTTP_POST, address_.prefix + "/run", Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Rosemarylink-Request-Id", upstreamRequest.id.value());
        request.setContentType(
            upstreamRequest.contentType.empty() ? "application/octet-stream" : upstreamRequest.contentType);
        request.setContentLength64(static_cast<Poco::Int64>(upstreamRequest.body.size()));
        std::ostream& output = session_->sendRequest(request);
        output.write(upstreamRequest.body.data(), static_cast<std::streamsize>(upstreamRequest.body.size()));
        output.flush();
        if (output.good() && session_->networkException() == nullptr)
            return okStatus();
    } catch (const Poco::Exception&) {
        // Part of the request may have been sent, whatever the exception says.
    }
    broken_ = true;
    return unavailable("the connection failed while the request was sent", Verdict::MayHaveRun);
}

Result<UpstreamResponse> UpstreamConnection::receive(Milliseconds timeout, Milliseconds stallTimeout)
{
    auto response = readResponse(timeout, stallTimeout);
    if (!response)
        broken_ = true;
    return response;
}

Result<UpstreamResponse> UpstreamConnection::readResponse(Milliseconds timeout, Milliseconds stallTimeout)
{
    const Error timedOut { ErrorCode::DeadlineExceeded, "the upstream did not respond in time", Verdict::MayHaveRun,
        std::nullopt };
    const std::int64_t deadline = steadyMilliseconds() + timeout.count();
    try {
        session_->socket().setReceiveTimeout(timespan(std::min(timeout, stallTimeout)));
        Poco::Net::HTTPResponse head;
        std::istream& input = session_->receiveResponse(head);
        BOOST_OUTCOME_TRY(response, parseHead(head));
        const auto length = static_cast<std::size_t>(head.getContentLength64());
        std::array<char, 16384> buffer {};
        while (response.body.size() < length) {
            const Milliseconds remaining(deadline - steadyMilliseconds());
            if (remaining.count() <= 0)
                return timedOut;
            session_->socket().setReceiveTimeout(timespan(std::min(remaining, stallTimeout)));
            input.read(
                buffer.data(), static_cast<std::streamsize>(std::min(buffer.size(), length - response.body.size())));
            if (input.gcount() <= 0)
                return unavailable("the upstream response was truncated", Verdict::MayHaveRun);
            response.body.append(buffer.data(), static_cast<std::size_t>(input.gcount()));
        }
        broken_ = broken_ || !head.getKeepAlive();
        return response;
    } catch (const Poco::TimeoutException&) {
        // A stall before the deadline is a connection fault, after which the request may be sent to another upstream.
        if (deadline - steadyMilliseconds() > timerSlack)
            return unavailable("the upstream connection stalled before the response was complete", Verdict::MayHaveRun);
        return timedOut;
    } catch (const Poco::Exception&) {
        return unavailable("the connection failed before the upstream response was complete", Verdict::MayHaveRun);
    }
}

Result<UpstreamResponse> UpstreamConnection::parseHead(const Poco::Net::HTTPResponse& head) const
{
    const auto malformed = [](const std::string& what) { return unavailable(what, Verdict::MayHaveRun); };
    if (head.get("Rosemarylink-Request-Id", "") != current_.value())
        return malformed("the upstream response belongs to another request");
    if (!head.hasContentLength() || head.getContentLength64() < 0)
        return malformed("the upstream response has no Content-Length");
    if (head.getContentLength64() > static_cast<Poco::Int64>(maximumResponseBytes_))
        return malformed("the upstream response is longer than " + std::to_string(maximumResponseBytes_) + " bytes");
    UpstreamResponse response;
    response.status = head.getStatus();
    response.refused = response.status == 503 && head.get("Rosemarylink-Refused", "") == "true";
    response.contentType = head.getContentType();
    Poco::Int64 busy = 0;
    if (Poco::NumberParser::tryParse64(head.get("Rosemarylink-Slots-Busy", ""), busy) && busy >= 0)
        response.slotsBusy = busy;
    return response;
}

bool UpstreamConnection::isReusable()
{
    if (broken_ || !session_ || !session_->connected() || session_->buffered() > 0)
        return false;
    try {
        return !session_->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
        return false;
    }
}

Poco::Net::Socket UpstreamConnection::socket() { return session_->socket(); }

} // namespace rosemarylink::gateway::internal
