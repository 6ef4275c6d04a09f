#include "rosemarylink/reactor/HttpMessage.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

namespace rosemarylink::reactor {

namespace {

    const MessageLimits limits { 512, 1024 };
    const std::string completeRequest = "POST /a/b HTTP/1.1\r\nHost: host\r\nContent-Length: 4\r\n\r\nbody";

} // namespace

// Guards against requests that are lost or truncated when their bytes arrive in several parts.
TEST_CASE("a request is extracted once it is complete, regardless of how its bytes arrive")
{
    for (std::size_t split = 0; split < completeRequest.size(); ++split) {
        std::string bytes = completeRequest.substr(0, split);
        const auto part = extractRequest(bytes, limits);
        REQUIRE(part.has_value());
        REQUIRE_FALSE(part.value().has_value());
        bytes += completeRequest.substr(split) + "GET";
        const auto request = extractRequest(bytes, limits);
        REQUIRE(request.has_value());
        REQUIRE(request.value().has_value());
        REQUIRE(request.value()->body == "body");
        REQUIRE(bytes == "GET");
    }
}

// Guards against a peer that crashes the process or makes it buffer an unlimited number of bytes.
TEST_CASE("arbitrary bytes are parsed, rejected or buffered within the limits")
{
    rc::prop("bounded", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        const auto pick
            = [&random](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
        std::string sent = pick(2) == 0 ? completeRequest : std::string(pick(3000) + 1, 'x');
        for (std::size_t change = pick(8); change > 0; --change)
            sent[pick(sent.size())] = static_cast<char>(pick(256));
        std::string bytes;
        for (std::size_t at = 0; at < sent.size();) {
            const std::size_t size = std::min(sent.size() - at, pick(200) + 1);
            bytes += sent.substr(at, size);
            at += size;
            const auto taken = extractRequest(bytes, limits);
            if (!taken)
                return;
            if (!taken.value())
                RC_ASSERT(bytes.size() <= limits.headerBytes + limits.bodyBytes + 200);
        }
    });
}

} // namespace rosemarylink::reactor
