#pragma once

#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"
#include "rosemarylink/transport/HttpServer.h"

#include <optional>

namespace rosemarylink::gateway::internal {

// The options of a request, from the headers of POST /v1/requests/<service>.
struct RequestHeaders {
    bool idempotent = true;
    bool urgent = false;
    std::optional<IdempotencyKey> key;
    Milliseconds timeout { 0 };
};

// Parses the headers and fills in defaults. Fails with InvalidArgument; the message names the header, its value and the
// allowed values.
Result<RequestHeaders> parseRequestHeaders(
    const transport::HttpRequest&, Milliseconds defaultTimeout, Milliseconds maximumTimeout);

// Fails with InvalidArgument unless the key has 1 to 128 letters, digits, '.', '_', '~' and '-'.
Result<IdempotencyKey> parseIdempotencyKey(const std::string&);

} // namespace rosemarylink::gateway::internal
