#include "PlatformCatalog.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rosemarylink::platform {

namespace {

    using Json = nlohmann::json;

    Json validEntry()
    {
        return { { "Service", "s" }, { "Address", "10.0.0.1:80" }, { "Zone", "z" }, { "Version", "1.2" },
            { "Slots", 8 }, { "State", "ready" }, { "Sequence", 5 }, { "born", 1700000000000 },
            { "Labels", { "a", "r1-1" } },
            { "Capacity", { { "Cpu", 32000 }, { "RequestedMb", 64000 }, { "Gpu", 8 } } } };
    }

    Result<jobs::WorkerEntry> parsed(const std::string& value, const std::string& id = "w1")
    {
        return PlatformCatalog().parseWorker({ "servers/" + id, value, Revision(1) });
    }

    Result<jobs::WorkerEntry> parsedWith(const char* pointer, const Json& value)
    {
        Json entry = validEntry();
        entry[Json::json_pointer(pointer)] = value;
        return parsed(entry.dump());
    }

} // namespace

// Guards against an owner whose memory and event loop a single entry takes up each time the list is read.
TEST_CASE("a deeply nested worker entry is refused before a value is built from it")
{
    const auto reasonFor = [](const std::string& value) {
        const auto refused = parsed(value);
        REQUIRE_FALSE(refused.has_value());
        return refused.error().message;
    };
    const std::string open(1000000, '[');
    CHECK(reasonFor(open).find("longer than") != std::string::npos);
    CHECK(reasonFor(open.substr(0, 60000)).find("nested") != std::string::npos);
    CHECK(reasonFor(open.substr(0, 100)).find("nested") != std::string::npos);
    CHECK_FALSE(parsed(R"({"State":"ready","Labels":)" + open).has_value());
    CHECK_FALSE(parsed(R"({"State":"ready","Unknown":)" + open + std::string(open.size(), ']') + "}").has_value());
}

// Guards against a client that asks the resolver for a name, which stops the whole process while it waits, or that
// connects to another port than the one that was written.
TEST_CASE("a worker entry whose address is not an IP address and a port is refused")
{
    for (const char* const address : { "10.0.0.1:1", "10.0.0.1:65535", "127.0.0.1:8080" }) {
        INFO(address);
        const auto entry = parsedWith("/Address", address);
        REQUIRE(entry.has_value());
        CHECK(entry.value().address == address);
    }
    for (const char* const address : { "", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
             "10.0.0.1:65616", "10.0.0.1:99999999999999999999", "10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1:80x",
             "10.0.0.1: 80", "10.0.0.1:http", "10.0.0.1:80:80", "10.0.0.1:0x50", "host:80", "host.example:80",
             "localhost:80", "10.0.1:80", "167772161:80", "010.0.0.1:80", "10.0.0.256:80", " 10.0.0.1:80", "0.0.0.0:80",
             "255.255.255.255:80", "224.0.0.1:80", "[::1]:80", "::1:80", "/tmp/socket", "10.0.0.1:80\n",
             "10.0.0.1\r\n:80" }) {
        INFO(address);
        CHECK_FALSE(parsedWith("/Address", address).has_value());
    }
    CHECK_FALSE(parsedWith("/Address", std::string("10.0.0.1\0:80", 12)).has_value());
    CHECK_FALSE(parsedWith("/Address", std::string(100000, '1') + ":80").has_value());
}

// Guards against sums over the workers that overflow, and against conversions that are undefined.
TEST_CASE("a worker entry with a number out of range is refused")
{
    const std::vector<Json> odd { 1e300, -1e300, 1e18, std::int64_t(9223372036854775807),
        std::uint64_t(18446744073709551615U), -1, 0.5, nullptr, "8", Json::array({ 8 }), Json::object(), true };
    for (const char* const field : { "/Capacity/Cpu", "/Capacity/RequestedMb", "/Capacity/Gpu", "/born", "/Slots",
             "/Sequence", "/ColdRemainingMs" }) {
        for (const Json& value : odd) {
            INFO(field << " " << value.dump());
            CHECK_FALSE(parsedWith(field, value).has_value());
        }
    }
    CHECK(parsedWith("/Capacity/Gpu", 0).has_value());
    CHECK(parsedWith("/Capacity/Gpu", 16.0).value().capacity.accelerators == 16);
    CHECK(parsedWith("/Capacity", Json::object()).value().capacity.accelerators == 0);
    CHECK(parsedWith("/born", 0).value().startTimeMs == 0);
}

// Guards against entries that take up the owner's memory or break the lines of its log.
TEST_CASE("a worker entry with a text that is long, or that no name contains, is refused")
{
    const std::string tooLong(300, 'x');
    for (const char* const field : { "/Service", "/Zone", "/Labels/0" }) {
        for (const Json& value :
            { Json(tooLong), Json("a\nb"), Json(std::string("a\0b", 3)), Json(5), Json(nullptr) }) {
            INFO(field << " " << value.dump());
            CHECK_FALSE(parsedWith(field, value).has_value());
        }
    }
    CHECK_FALSE(parsedWith("/Service", "").has_value());
    CHECK_FALSE(parsedWith("/Labels", std::vector<std::string>(1000, "a")).has_value());
    CHECK_FALSE(parsedWith("/Labels", "a").has_value());
    CHECK_FALSE(parsedWith("/Labels", Json::object({ { "0", "a" } })).has_value());
    CHECK_FALSE(parsedWith("/Unknown", std::string(500000, 'x')).has_value());
    for (const std::string& id : { std::string(), tooLong, std::string("a b"), std::string("a\r\nHost: b"),
             std::string("\xc3\xa9"), std::string("a\0b", 3) })
        CHECK_FALSE(parsed(validEntry().dump(), id).has_value());
    CHECK(parsed(validEntry().dump(), "w-1.a_2").has_value());
    CHECK(parsedWith("/Labels", Json::array()).has_value());
    CHECK(parsedWith("/Unknown", Json::array({ 5, "x" })).has_value());
}

// Guards against counting an entry as a worker although a field that every worker writes is not there.
TEST_CASE("a worker entry with a field missing, of another type or of an unknown value is refused")
{
    for (const char* const field : { "Service", "Address", "Zone", "State", "Capacity", "Labels" }) {
        INFO(field);
        Json entry = validEntry();
        entry.erase(field);
        CHECK_FALSE(parsed(entry.dump()).has_value());
        for (const Json& value : { Json(5), Json(nullptr), Json(true), Json::array({ Json::array() }) })
            CHECK_FALSE(parsedWith((std::string("/") + field).c_str(), value).has_value());
    }
    for (const char* const state : { "", "Ready", "gone", "READY" })
        CHECK_FALSE(parsedWith("/State", state).has_value());
    for (const std::string& text : { std::string(), std::string("null"), std::string("[]"), std::string("5"),
             std::string("\xff\xfe\x00", 3), validEntry().dump() + "}", validEntry().dump().substr(1) })
        CHECK_FALSE(parsed(text).has_value());
    CHECK(parsed(validEntry().dump()).has_value());
}

} // namespace rosemarylink::platform
