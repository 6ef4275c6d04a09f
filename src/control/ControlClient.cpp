#include "ControlClient.h"

namespace rosemarylink::control::internal {

namespace {

    ExitCode exitCodeOf(ErrorCode code)
    {
        if (code == ErrorCode::Conflict)
            return ExitCode::Conflict;
        return code == ErrorCode::DeadlineExceeded ? ExitCode::TimedOut : ExitCode::Refused;
    }

    // Keeps a refusal in preference to later connection failures, because an answer is more informative than none.
    void keepMostSpecific(std::optional<CommandFailure>& kept, const CommandFailure& next)
    {
        if (!kept || next.exitCode == ExitCode::Refused || kept->exitCode != ExitCode::Refused)
            kept = next;
    }

} // namespace

ControlClient::ControlClient(
    const std::vector<std::string>& gateways, std::string bearerKey, Milliseconds timeout, const Clock& clock)
    : bearerKey_(std::move(bearerKey))
    , timeout_(timeout)
    , clock_(clock)
{
    for (const std::string& address : gateways)
        gateways_.push_back({ address, std::make_unique<transport::HttpClient>(address) });
}

Outcome<nlohmann::json> ControlClient::get(const std::string& target)
{
    return send("GET", target, {}, nullptr, RetrySafety::Safe);
}

Outcome<nlohmann::json> ControlClient::send(const std::string& method, const std::string& target,
    transport::Headers headers, const nlohmann::json& body, RetrySafety retrySafety)
{
    headers["Authorization"] = "Bearer " + bearerKey_;
    if (!body.is_null())
        headers["Content-Type"] = "application/json";
    const std::string text = body.is_null() ? "" : body.dump();
    std::optional<CommandFailure> failure;
    bool mayHaveRun = false;
    for (Gateway& gateway : gateways_) {
        auto answer = sendTo(gateway, method, target, headers, text);
        if (answer)
            return answer;
        mayHaveRun = mayHaveRun || answer.error().error.verdict != Verdict::NotRun;
        const bool next = mayTryNext(answer.error(), retrySafety);
        if (next)
            keepMostSpecific(failure, answer.error());
        else
            failure = answer.error();
        if (!next)
            break;
    }
    // A refusal by a later gateway does not tell whether an earlier one ran the request.
    if (mayHaveRun)
        failure->error.verdict = Verdict::MayHaveRun;
    return *failure;
}

Outcome<nlohmann::json> ControlClient::sendTo(Gateway& gateway, const std::string& method, const std::string& target,
    const transport::Headers& headers, const std::string& body)
{
    const Milliseconds start = clock_.monotonic();
    const auto reply = gateway.client->send(method, target, headers, body, timeout_);
    if (!reply) {
        const bool timedOut = clock_.monotonic() - start >= timeout_;
        return makeFailure(timedOut ? ExitCode::TimedOut : ExitCode::Unreachable, reply.error());
    }
    if (reply.value().status >= 400) {
        Error error = transport::errorFromResponse(reply.value().status, reply.value().body);
        error.message = gateway.address + ": " + error.message;
        return makeFailure(exitCodeOf(error.code), error);
    }
    auto json = nlohmann::json::parse(reply.value().body, nullptr, false);
    if (json.is_discarded()) {
        return makeFailure(ExitCode::Refused,
            { ErrorCode::Internal,
                gateway.address + ": the answer is not JSON; check that this is the address of a gateway",
                Verdict::MayHaveRun, std::nullopt });
    }
    return json;
}

bool ControlClient::mayTryNext(const CommandFailure& failure, RetrySafety retrySafety)
{
    const bool otherMayAnswer = failure.exitCode == ExitCode::Unreachable || failure.exitCode == ExitCode::TimedOut
        || failure.error.code == ErrorCode::Unavailable;
    return otherMayAnswer && (failure.error.verdict == Verdict::NotRun || retrySafety == RetrySafety::Safe);
}

} // namespace rosemarylink::control::internal
