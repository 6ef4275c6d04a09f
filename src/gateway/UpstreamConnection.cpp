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

    // Longer than any request; the pool decides when an idle connection is too old. The session would otherwise connect
    // again on its own, without the order of connect, record and send that at-most-once needs.
    constexpr int neverReconnectSeconds = 86400;
    // Socket time-outs may fire a little before the time.
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

UpstreamConnection::UpstreamConnection(UpstreamAddress address, std::size_t maximumAnswer)
    : address_(std::move(address))
    , maximumAnswer_(maximumAnswer)
{
}

UpstreamConnection::~UpstreamConnection() = default;

Status UpstreamConnection::connect(Milliseconds timeout)
{
    try {
        session_ = std::make_unique<Session>(address_.host, static_cast<Poco::UInt16>(address_.port));
        session_->setKeepAlive(true);
        session_->setKeepAliveTimeout(Poco::Timespan(neverReconnectSeconds, 0));
        session_->socket().connect(
            Poco::Net::SocketAddress(address_.host, static_cast<Poco::UInt16>(address_.port)), timespan(timeout));
        session_->socket().setNoDelay(true);
        // The kernel's probes find a peer host that vanished without closing its connections.
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
        input.ignore(static_cast<std::streamsize>(maximumAnswer_));
        // An answer with a request id is a stray one of an earlier request; the connection is out of step.
        if (response.getKeepAlive() && !response.has("Rosemarylink-Request-Id") && isReusable())
            return okStatus();
    } catch (const Poco::Exception&) {
        // Reported below; the cause does not matter for a connection that is dropped.
    }
    broken_ = true;
    return unavailable("the idle connection did not answer a probe", Verdict::NotRun);
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
        // Part of the request may have left, whatever the exception says.
    }
    broken_ = true;
    return unavailable("the connection failed while the request was sent", Verdict::MayHaveRun);
}

Result<UpstreamAnswer> UpstreamConnection::receive(Milliseconds timeout, Milliseconds stallTimeout)
{
    auto answer = readAnswer(timeout, stallTimeout);
    if (!answer)
        broken_ = true;
    return answer;
}

Result<UpstreamAnswer> UpstreamConnection::readAnswer(Milliseconds timeout, Milliseconds stallTimeout)
{
    const Error late { ErrorCode::DeadlineExceeded, "the upstream did not answer in time", Verdict::MayHaveRun,
        std::nullopt };
    const std::int64_t deadline = steadyMilliseconds() + timeout.count();
    try {
        session_->socket().setReceiveTimeout(timespan(std::min(timeout, stallTimeout)));
        Poco::Net::HTTPResponse response;
        std::istream& input = session_->receiveResponse(response);
        BOOST_OUTCOME_TRY(answer, readHead(response));
        const auto length = static_cast<std::size_t>(response.getContentLength64());
        std::array<char, 16384> buffer {};
        while (answer.body.size() < length) {
            const Milliseconds remaining(deadline - steadyMilliseconds());
            if (remaining.count() <= 0)
                return late;
            session_->socket().setReceiveTimeout(timespan(std::min(remaining, stallTimeout)));
            input.read(
                buffer.data(), static_cast<std::streamsize>(std::min(buffer.size(), length - answer.body.size())));
            if (input.gcount() <= 0)
                return unavailable("the upstream's answer was cut short", Verdict::MayHaveRun);
            answer.body.append(buffer.data(), static_cast<std::size_t>(input.gcount()));
        }
        broken_ = broken_ || !response.getKeepAlive();
        return answer;
    } catch (const Poco::TimeoutException&) {
        // A pause within the time is a fault of the connection, after which the request may be sent elsewhere.
        if (deadline - steadyMilliseconds() > timerSlack)
            return unavailable("the connection went silent in the middle of the answer", Verdict::MayHaveRun);
        return late;
    } catch (const Poco::Exception&) {
        return unavailable("the connection closed before the upstream's answer", Verdict::MayHaveRun);
    }
}

Result<UpstreamAnswer> UpstreamConnection::readHead(const Poco::Net::HTTPResponse& response) const
{
    const auto broken = [](const std::string& what) { return unavailable(what, Verdict::MayHaveRun); };
    if (response.get("Rosemarylink-Request-Id", "") != current_.value())
        return broken("the upstream's answer belongs to another request");
    if (!response.hasContentLength() || response.getContentLength64() < 0)
        return broken("the upstream's answer has no length");
    if (response.getContentLength64() > static_cast<Poco::Int64>(maximumAnswer_))
        return broken("the upstream's answer is longer than " + std::to_string(maximumAnswer_) + " bytes");
    UpstreamAnswer answer;
    answer.status = response.getStatus();
    answer.refused = answer.status == 503 && response.get("Rosemarylink-Refused", "") == "true";
    answer.contentType = response.getContentType();
    Poco::Int64 busy = 0;
    if (Poco::NumberParser::tryParse64(response.get("Rosemarylink-Slots-Busy", ""), busy) && busy >= 0)
        answer.slotsBusy = busy;
    return answer;
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
