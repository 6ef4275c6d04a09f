#include "PlatformCatalog.h"

#include <catch2/catch.hpp>

#include <string>

namespace rosemarylink::platform {

namespace {

    Result<jobs::WorkerEntry> parsed(const std::string& value, const std::string& id = "w1")
    {
        return PlatformCatalog().parseWorker({ "servers/" + id, value, Revision(1) });
    }

} // namespace

// Guards against an owner whose memory and event loop a single entry takes up each time the list is read.
TEST_CASE("a deeply nested worker entry is refused before a value is built from it")
{
    const std::string open(1000000, '[');
    const auto refused = parsed(open);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().message.find("nested") != std::string::npos);
    CHECK_FALSE(parsed(R"({"State":"ready","Labels":)" + open).has_value());
    CHECK_FALSE(parsed(R"({"State":"ready","Unknown":)" + open + std::string(open.size(), ']') + "}").has_value());
}

} // namespace rosemarylink::platform
