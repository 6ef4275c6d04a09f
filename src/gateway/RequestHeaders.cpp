#include "RequestHeaders.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <cctype>

namespace rosemarylink::gateway::internal {

namespace {

    constexpr std::size_t maximumKeyLength = 128;

    Result<bool> parseFlag(const transport::HttpRequest& request, const std::string& name, bool fallback)
    {
        const std::string value = request.header(name, fallback ? "true" : "false");
        if (value != "true" && value != "false")
            return invalidArgument("the header " + name + " is \"" + value + "\"; it must be true or false");
        return value == "true";
    }

    bool isKeyCharacter(unsigned char c) { return std::isalnum(c) || c == '.' || c == '_' || c == '~' || c == '-'; }

} // namespace

Result<IdempotencyKey> parseIdempotencyKey(const std::string& text)
{
    if (text.empty() || text.size() > maximumKeyLength || !std::all_of(text.begin(), text.end(), isKeyCharacter)) {
        return invalidArgument("the idempotency key must have 1 to " + std::to_string(maximumKeyLength)
            + " letters, digits, '.', '_', '~' and '-'");
    }
    return IdempotencyKey(text);
}

Result<RequestHeaders> parseRequestHeaders(
    const transport::HttpRequest& request, Milliseconds defaultTimeout, Milliseconds maximumTimeout)
{
    RequestHeaders headers;
    BOOST_OUTCOME_TRY(idempotent, parseFlag(request, "Rosemarylink-Idempotent", true));
    BOOST_OUTCOME_TRY(urgent, parseFlag(request, "Rosemarylink-Urgent", false));
    headers.idempotent = idempotent;
    headers.urgent = urgent;
    const std::string key = request.header("Idempotency-Key");
    if (!key.empty()) {
        BOOST_OUTCOME_TRY(parsed, parseIdempotencyKey(key));
        headers.key = parsed;
    }
    const std::string timeout = request.header("Rosemarylink-Timeout-Ms", std::to_string(defaultTimeout.count()));
    Poco::Int64 milliseconds = 0;
    if (!Poco::NumberParser::tryParse64(timeout, milliseconds) || milliseconds < 1
        || milliseconds > maximumTimeout.count()) {
        return invalidArgument("the header Rosemarylink-Timeout-Ms is \"" + timeout
            + "\"; it must be a whole number from 1 to " + std::to_string(maximumTimeout.count()));
    }
    headers.timeout = Milliseconds(milliseconds);
    return headers;
}

} // namespace rosemarylink::gateway::internal
