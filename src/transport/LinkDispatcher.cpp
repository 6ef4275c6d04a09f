#include "LinkDispatcher.h"

#include "rosemarylink/base/Log.h"

#include <boost/asio/post.hpp>

#include <exception>

namespace rosemarylink::transport::internal {

namespace {

    const Logger logger("links");

    // The heartbeats of 28 instances reach this limit after the thread has been blocked for more than two minutes.
    constexpr int maximumQueuedNotifications = 4096;

    messages::Envelope answerTo(const messages::Envelope& call, const Result<nlohmann::json>& outcome)
    {
        messages::Envelope answer;
        answer.kind = messages::MessageKind::Answer;
        answer.id = call.id;
        if (outcome)
            answer.body = outcome.value();
        else
            answer.error = toWire(outcome.error());
        return answer;
    }

} // namespace

messages::WireError toWire(const Error& error)
{
    return { std::string(errorCodeName(error.code)), error.message, std::string(verdictName(error.verdict)),
        error.retryAfter };
}

Error fromWire(const messages::WireError& wire)
{
    Error error { ErrorCode::Internal, wire.message, parseVerdict(wire.verdict).value_or(Verdict::MayHaveRun),
        wire.retryAfterMs };
    for (int code = 0; code <= static_cast<int>(ErrorCode::Internal); ++code) {
        if (errorCodeName(static_cast<ErrorCode>(code)) == wire.code)
            error.code = static_cast<ErrorCode>(code);
    }
    return error;
}

LinkDispatcher::LinkDispatcher(int callThreads, int maximumQueuedCalls)
    : maximumQueuedCalls_(maximumQueuedCalls)
    , calls_(static_cast<std::size_t>(callThreads))
{
}

LinkDispatcher::~LinkDispatcher() { stop(); }

void LinkDispatcher::setHandler(const std::string& type, InstanceLinks::Handler handler)
{
    handlers_[type] = std::move(handler);
}

Result<nlohmann::json> LinkDispatcher::handle(const InstanceId& from, const messages::Envelope& message) const
{
    const auto handler = handlers_.find(message.type.value_or(""));
    if (handler == handlers_.end())
        return makeError(ErrorCode::Unsupported, "no handler for message type " + message.type.value_or("(none)"));
    try {
        return handler->second(from, message.body.value_or(nlohmann::json::object()));
    } catch (const std::exception& exception) {
        return Error { ErrorCode::Internal, exception.what(), Verdict::MayHaveRun, std::nullopt };
    }
}

void LinkDispatcher::notification(const InstanceId& from, messages::Envelope message)
{
    if (queuedNotifications_ >= maximumQueuedNotifications)
        return;
    ++queuedNotifications_;
    boost::asio::post(notifications_, [this, from, message = std::move(message)] {
        --queuedNotifications_;
        if (stopped_)
            return;
        const auto outcome = handle(from, message);
        if (!outcome)
            logger.warning("notification refused",
                { { "peer", from }, { "type", message.type.value_or("") }, { "reason", outcome.error().message } });
    });
}

void LinkDispatcher::call(const InstanceId& from, messages::Envelope message, Answer answer)
{
    if (queuedCalls_ >= maximumQueuedCalls_) {
        Error error = makeError(ErrorCode::ResourceExhausted, "too many calls are queued on this instance");
        error.retryAfter = Milliseconds(1000);
        answer(answerTo(message, error));
        return;
    }
    ++queuedCalls_;
    boost::asio::post(calls_, [this, from, message = std::move(message), answer = std::move(answer)] {
        --queuedCalls_;
        if (!stopped_)
            answer(answerTo(message, handle(from, message)));
    });
}

void LinkDispatcher::stop()
{
    stopped_ = true;
    notifications_.join();
    calls_.join();
}

} // namespace rosemarylink::transport::internal
