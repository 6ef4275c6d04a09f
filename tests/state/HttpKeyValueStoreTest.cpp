#include "FakeKeyValueStore.h"

#include "rosemarylink/state/HttpKeyValueStore.h"
#include "rosemarylink/transport/HttpServer.h"

#include <Poco/Base64Encoder.h>

#include <catch2/catch.hpp>

#include <sstream>

namespace rosemarylink::state {
namespace {

    using transport::HttpRequest;
    using transport::HttpResponse;

    std::string encodeBase64(const std::string& bytes)
    {
        std::ostringstream text;
        Poco::Base64Encoder encoder(text);
        encoder << bytes;
        encoder.close();
        return text.str();
    }

    HttpResponse withRevision(int status, Revision revision, std::string body = "")
    {
        HttpResponse response;
        response.status = status;
        response.headers["Revision"] = std::to_string(revision.value());
        response.body = std::move(body);
        return response;
    }

    HttpResponse statusOnly(const Status& status)
    {
        HttpResponse response;
        response.status = status ? 200 : 404;
        return response;
    }

    // Serves the store's HTTP interface from the fake store.
    class StoreServer {
    public:
        StoreServer()
            : inner(clock)
        {
            router_.add("GET", "/kv/value/{key...}", [this](const HttpRequest& request) { return read(request); });
            router_.add("PUT", "/kv/value/{key...}", [this](const HttpRequest& request) { return write(request); });
            router_.add("DELETE", "/kv/value/{key...}", [this](const HttpRequest& request) { return remove(request); });
            router_.add("GET", "/kv/list", [this](const HttpRequest& request) { return list(request); });
            router_.add("GET", "/kv/watch", [this](const HttpRequest& request) { return watch(request); });
            router_.add("POST", "/kv/leases", [this](const HttpRequest& request) {
                const auto ttl = nlohmann::json::parse(request.body).at("ttlMs").get<std::int64_t>();
                return transport::jsonResponse({ { "lease", inner.grantLease(Milliseconds(ttl)).value().value() } });
            });
            router_.add("POST", "/kv/leases/{id}/renew", [this](const HttpRequest& request) {
                return statusOnly(inner.renewLease(LeaseId(request.parameters.at("id"))));
            });
            router_.add("DELETE", "/kv/leases/{id}", [this](const HttpRequest& request) {
                return statusOnly(inner.revokeLease(LeaseId(request.parameters.at("id"))));
            });
            server_ = std::make_unique<transport::HttpServer>(router_, transport::HttpServerOptions {});
            REQUIRE(server_->start());
            store = std::make_unique<HttpKeyValueStore>("127.0.0.1:" + std::to_string(server_->port()));
        }

        ManualClock clock;
        fakes::FakeKeyValueStore inner;
        bool dropReplies = false;
        std::unique_ptr<HttpKeyValueStore> store;

    private:
        HttpResponse read(const HttpRequest& request)
        {
            const auto value = inner.read(request.parameters.at("key")).value();
            return value ? withRevision(200, value->revision, value->bytes) : withRevision(404, Revision(0));
        }
        HttpResponse write(const HttpRequest& request)
        {
            const std::string& key = request.parameters.at("key");
            std::optional<LeaseId> lease;
            if (!request.header("Lease").empty())
                lease = LeaseId(request.header("Lease"));
            const Revision expected(std::stoll(request.header("If-Revision")));
            const auto written = inner.compareAndSwap(key, expected, request.body, lease);
            HttpResponse response = written ? withRevision(200, written.value())
                : written.error().code == ErrorCode::Conflict
                ? withRevision(409, inner.read(key).value() ? inner.read(key).value()->revision : Revision(0))
                : withRevision(404, Revision(0));
            response.closeWithoutAnswer = dropReplies;
            return response;
        }
        HttpResponse remove(const HttpRequest& request)
        {
            const Revision expected(std::stoll(request.header("If-Revision")));
            return withRevision(inner.remove(request.parameters.at("key"), expected) ? 200 : 409, Revision(0));
        }
        HttpResponse list(const HttpRequest& request)
        {
            nlohmann::json values = nlohmann::json::array();
            const auto listed = inner.list(request.queryValue("prefix"));
            for (const auto& value : listed.value())
                values.push_back({ { "key", value.key }, { "revision", value.value.revision.value() },
                    { "value", encodeBase64(value.value.bytes) } });
            return transport::jsonResponse(values);
        }
        HttpResponse watch(const HttpRequest& request)
        {
            nlohmann::json events = nlohmann::json::array();
            const Revision after(std::stoll(request.queryValue("after")));
            const auto seen = inner.watch(request.queryValue("prefix"), after, Milliseconds(0));
            for (const auto& event : seen.value()) {
                nlohmann::json entry { { "key", event.key }, { "revision", event.revision.value() } };
                if (event.bytes)
                    entry["value"] = encodeBase64(*event.bytes);
                events.push_back(entry);
            }
            return transport::jsonResponse(events);
        }

        transport::HttpRouter router_;
        std::unique_ptr<transport::HttpServer> server_;
    };

    TEST_CASE("binary values and keys with special characters are unchanged by the HTTP interface")
    {
        StoreServer server;
        const std::string bytes("\x00\xff\r\n binary", 10);
        const std::string key = "attempts/a b/k?&=+%#/x";
        CHECK_FALSE(server.store->read(key).value());
        const auto revision = server.store->compareAndSwap(key, Revision(0), bytes);
        REQUIRE(revision);
        CHECK(server.inner.read(key).value()->bytes == bytes);
        CHECK(server.store->read(key).value()->bytes == bytes);
        CHECK(server.store->read(key).value()->revision == revision.value());
        const auto listed = server.store->list("attempts/a b/").value();
        REQUIRE(listed.size() == 1);
        CHECK(listed[0].key == key);
        CHECK(listed[0].value.bytes == bytes);
    }

    TEST_CASE("a write or removal with another revision fails with Conflict over HTTP")
    {
        StoreServer server;
        const auto first = server.store->compareAndSwap("key", Revision(0), "a").value();
        const auto second = server.store->compareAndSwap("key", Revision(0), "b");
        REQUIRE_FALSE(second);
        CHECK(second.error().code == ErrorCode::Conflict);
        CHECK(server.store->remove("key", first + Revision(1)).error().code == ErrorCode::Conflict);
        CHECK(server.store->remove("key", first));
        const auto events = server.store->watch("key", Revision(0), Milliseconds(10)).value();
        REQUIRE(events.size() == 2);
        CHECK(events[0].bytes == "a");
        CHECK_FALSE(events[1].bytes);
    }

    TEST_CASE("a value bound to a lease ends with it over HTTP")
    {
        StoreServer server;
        const LeaseId lease = server.store->grantLease(Milliseconds(6000)).value();
        REQUIRE(server.store->compareAndSwap("key", Revision(0), "a", lease));
        CHECK(server.store->renewLease(lease));
        server.clock.advance(Milliseconds(6000));
        CHECK_FALSE(server.store->read("key").value());
        CHECK(server.store->renewLease(lease).error().code == ErrorCode::NotFound);
    }

    TEST_CASE("a refused connection is NotRun and a lost reply is MayHaveRun")
    {
        StoreServer server;
        server.dropReplies = true;
        const auto lost = server.store->compareAndSwap("key", Revision(0), "a");
        REQUIRE_FALSE(lost);
        CHECK(lost.error().code == ErrorCode::Unavailable);
        CHECK(lost.error().verdict == Verdict::MayHaveRun);
        CHECK(server.inner.read("key").value());

        HttpKeyValueStore nowhere("127.0.0.1:1");
        const auto refused = nowhere.compareAndSwap("key", Revision(0), "a");
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == ErrorCode::Unavailable);
        CHECK(refused.error().verdict == Verdict::NotRun);
    }

} // namespace
} // namespace rosemarylink::state
