#pragma once

#include "DeclarationSamples.h"
#include "FakeBackend.h"

#include "rosemarylink/control/OperatorApi.h"
#include "rosemarylink/transport/HttpClient.h"
#include "rosemarylink/transport/HttpServer.h"

#include <catch2/catch.hpp>

namespace rosemarylink::control {

// Serves an OperatorApi with a fake backend on the loopback interface. Version 1 holds the sample declarations, stored
// by operator layla.
struct ApiFixture {
    FakeBackend backend;
    MetricsRegistry metrics;
    OperatorApi api;
    transport::HttpRouter router;
    std::unique_ptr<transport::HttpServer> server;
    std::unique_ptr<transport::HttpClient> client;

    ApiFixture()
        : api(backend, metrics,
            parseOperatorKeys({ "layla:" + sha256Hex("layla-old"), "layla:" + sha256Hex("layla-new"),
                                  "omar:" + sha256Hex("omar-key") })
                .value())
    {
        backend.storeAs("layla", sampleDeclarations());
        api.registerRoutes(router);
        server = std::make_unique<transport::HttpServer>(router, transport::HttpServerOptions {});
        REQUIRE(server->start());
        client = std::make_unique<transport::HttpClient>(address());
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server->port()); }

    transport::HttpReply send(const std::string& key, const std::string& method, const std::string& target,
        const nlohmann::json& body = nullptr, transport::Headers headers = {})
    {
        if (!key.empty())
            headers["Authorization"] = "Bearer " + key;
        return client->send(method, target, headers, body.is_null() ? "" : body.dump(), Milliseconds(5000)).value();
    }

    Error failure(const std::string& key, const std::string& method, const std::string& target,
        const nlohmann::json& body = nullptr, const transport::Headers& headers = {})
    {
        const transport::HttpReply reply = send(key, method, target, body, headers);
        REQUIRE(reply.status >= 400);
        return transport::errorFromResponse(reply.status, reply.body);
    }
};

inline nlohmann::json bodyOf(const transport::HttpReply& reply) { return nlohmann::json::parse(reply.body); }

} // namespace rosemarylink::control
