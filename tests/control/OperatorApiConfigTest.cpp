#include "ApiFixture.h"

#include "rosemarylink/control/DeclarationRules.h"

namespace rosemarylink::control {
namespace {

    nlohmann::json changedDeclarations()
    {
        model::Declarations all = sampleDeclarations();
        all.accounts[1].weight = 4;
        return model::toJson(all);
    }

    TEST_CASE("the configuration is read with its version, operator and time")
    {
        ApiFixture fixture;
        const auto reply = fixture.send("omar-key", "GET", "/v1/config");
        REQUIRE(reply.status == 200);
        CHECK(reply.headers.at("ETag") == "\"1\"");
        const auto view = api::parseConfigView(bodyOf(reply)).value();
        CHECK(view.acceptedBy == OperatorId("layla"));
        CHECK(model::toJson(view.declarations) == model::toJson(sampleDeclarations()));
    }

    TEST_CASE("a change is stored once with its audit entry, and repeating it changes nothing")
    {
        ApiFixture fixture;
        for (int repeat = 0; repeat < 2; ++repeat) {
            const auto reply
                = fixture.send("omar-key", "PUT", "/v1/config", changedDeclarations(), { { "If-Match", "\"1\"" } });
            REQUIRE(reply.status == 200);
            const auto change = api::parseConfigChange(bodyOf(reply)).value();
            CHECK(change.version == ConfigVersion(2));
            CHECK(change.changed == (repeat == 0));
        }
        CHECK(fixture.backend.proposals == 1);
        const auto entry = fixture.backend.audit({}).value().entries.at(0);
        CHECK(entry.acceptedBy == OperatorId("omar"));
        CHECK(entry.changes == std::vector<std::string> { "account harbor: weight 3.0 -> 4.0" });
    }

    TEST_CASE("the first configuration requires version 0 in If-Match, and may be empty")
    {
        ApiFixture fixture;
        fixture.backend.resetConfig();
        const nlohmann::json empty = { { "preset", "ordinary" }, { "accounts", nlohmann::json::array() } };
        CHECK(
            fixture.failure("omar-key", "PUT", "/v1/preset", { { "preset", "peak" } }).message.find("apply a directory")
            != std::string::npos);
        CHECK(fixture.failure("omar-key", "PUT", "/v1/config", empty, { { "If-Match", "5" } }).code
            == ErrorCode::Conflict);
        const auto reply = fixture.send("omar-key", "PUT", "/v1/config", empty, { { "If-Match", "0" } });
        REQUIRE(reply.status == 200);
        CHECK(api::parseConfigChange(bodyOf(reply)).value().version == ConfigVersion(1));
        CHECK(fixture.backend.proposals == 1);
    }

    TEST_CASE("a dry run checks everything and stores nothing")
    {
        ApiFixture fixture;
        const auto reply
            = fixture.send("omar-key", "PUT", "/v1/config?dryRun=true", changedDeclarations(), { { "If-Match", "1" } });
        REQUIRE(reply.status == 200);
        const auto change = api::parseConfigChange(bodyOf(reply)).value();
        CHECK(change.changed);
        CHECK(change.dryRun);
        CHECK(change.changes.size() == 1);
        CHECK(fixture.backend.proposals == 0);
        fixture.backend.feasibilityFailure = invalidArgument("guarantee harbor/night: 2 gangs lack racks");
        CHECK(
            fixture.failure("omar-key", "PUT", "/v1/config?dryRun=true", changedDeclarations(), { { "If-Match", "1" } })
                .message
            == "guarantee harbor/night: 2 gangs lack racks");
    }

    TEST_CASE("a change based on an older version is a conflict that names the author and time")
    {
        ApiFixture fixture;
        fixture.backend.clock.advance(Milliseconds(1796371200000));
        model::Declarations other = sampleDeclarations();
        other.preset = model::Preset::Peak;
        fixture.backend.storeAs("omar", other);
        const Error error
            = fixture.failure("layla-new", "PUT", "/v1/config", changedDeclarations(), { { "If-Match", "1" } });
        CHECK(error.code == ErrorCode::Conflict);
        CHECK(error.verdict == Verdict::NotRun);
        CHECK(error.message
            == "version 2 was accepted from omar at 2026-12-04T08:00:00Z, but the change was made for version 1; "
               "compare with the stored version, then apply again");
        CHECK(fixture.backend.proposals == 0);
    }

    TEST_CASE("a concurrent change at the store is a conflict and keeps the stored version")
    {
        ApiFixture fixture;
        fixture.backend.concurrentChangesBeforePropose = 1;
        const Error error
            = fixture.failure("layla-new", "PUT", "/v1/config", changedDeclarations(), { { "If-Match", "1" } });
        CHECK(error.code == ErrorCode::Conflict);
        CHECK(error.message == "version 2 was accepted from omar");
        CHECK(fixture.backend.currentConfig().value().version == ConfigVersion(2));
    }

    // Guards against a refused configuration of which some part takes effect.
    TEST_CASE("a refused configuration changes nothing")
    {
        ApiFixture fixture;
        const transport::Headers match { { "If-Match", "1" } };
        const auto refused = [&](const nlohmann::json& body) {
            return fixture.failure("layla-new", "PUT", "/v1/config", body, match).message;
        };
        nlohmann::json body = changedDeclarations();
        body["accounts"][0]["weight"] = 0;
        CHECK(refused(body).find("accounts[0].weight") != std::string::npos);
        body = changedDeclarations();
        body["accounts"].push_back(body["accounts"][0]);
        CHECK(refused(body).find("the account is declared twice") != std::string::npos);
        body = changedDeclarations();
        body["guarantees"][0]["account"] = "nobody";
        CHECK(refused(body).find("it must be a declared account; allowed: depot, harbor") != std::string::npos);
        body = changedDeclarations();
        body["weights"]["completion"] = 0.9;
        CHECK(refused(body).find("such that completion + fragmentation = 1") != std::string::npos);
        body = changedDeclarations();
        body["presets"] = "peak";
        CHECK(refused(body).find("preset") != std::string::npos);
        fixture.backend.feasibilityFailure = invalidArgument("guarantee harbor/night does not fit in amman");
        CHECK(refused(changedDeclarations()) == "guarantee harbor/night does not fit in amman");
        CHECK(fixture.backend.proposals == 0);
        const auto stored = fixture.backend.currentConfig().value();
        CHECK(stored.version == ConfigVersion(1));
        CHECK(model::toJson(stored.declarations) == model::toJson(sampleDeclarations()));
    }

    TEST_CASE("malformed requests are refused with the allowed values")
    {
        ApiFixture fixture;
        const auto message = [&](const std::string& method, const std::string& target, const nlohmann::json& body,
                                 const transport::Headers& headers) {
            const Error error = fixture.failure("layla-new", method, target, body, headers);
            CHECK(error.code == ErrorCode::InvalidArgument);
            return error.message;
        };
        CHECK(message("PUT", "/v1/config", changedDeclarations(), {}).find("the header If-Match is missing")
            != std::string::npos);
        CHECK(message("PUT", "/v1/config", changedDeclarations(), { { "If-Match", "latest" } })
            == "the header If-Match has the value \"latest\"; it must be a configuration version, such as 12");
        CHECK(message("PUT", "/v1/config?dryrun=true", changedDeclarations(), { { "If-Match", "1" } })
            == "unknown query parameter \"dryrun\"; did you mean \"dryRun\"?");
        CHECK(message("PUT", "/v1/config?dryRun=yes", changedDeclarations(), { { "If-Match", "1" } })
            == "query parameter \"dryRun\" has the value \"yes\"; it must be true or false");
        CHECK(message("PUT", "/v1/preset", { { "preset", "calm" } }, {}).find("ordinary, peak, maintenance")
            != std::string::npos);
        CHECK(message("GET", "/v1/audit?limit=1,000", nullptr, {})
            == "query parameter \"limit\" has the value \"1,000\"; it must be a whole number from 1 to 1000");
        CHECK(message("GET", "/v1/workers?state=tired", nullptr, {}).find("ready, leaving, lost, quarantined")
            != std::string::npos);
        CHECK(message("GET", "/v1/config/versions/last", nullptr, {}).find("it must be a configuration version")
            != std::string::npos);
        const auto notJson = fixture.client
                                 ->send("PUT", "/v1/preset", { { "Authorization", "Bearer omar-key" } },
                                     "{\"preset\": peak}", Milliseconds(5000))
                                 .value();
        CHECK(notJson.status == 400);
        CHECK(notJson.body.find("the body is not JSON: byte 12 is wrong") != std::string::npos);
    }

    TEST_CASE("a preset change is retried after a conflict, unless the request has If-Match")
    {
        ApiFixture fixture;
        fixture.backend.concurrentChangesBeforePropose = 2;
        const auto reply = fixture.send("omar-key", "PUT", "/v1/preset", { { "preset", "peak" } });
        REQUIRE(reply.status == 200);
        CHECK(api::parseConfigChange(bodyOf(reply)).value().version == ConfigVersion(4));
        CHECK(bodyOf(fixture.send("omar-key", "GET", "/v1/preset"))
            == nlohmann::json({ { "preset", "peak" }, { "version", 4 } }));

        const Error error = fixture.failure(
            "omar-key", "PUT", "/v1/preset", { { "preset", "maintenance" } }, { { "If-Match", "3" } });
        CHECK(error.code == ErrorCode::Conflict);
        CHECK(fixture.backend.currentConfig().value().declarations.preset == model::Preset::Peak);
    }

    TEST_CASE("during a store outage changes are refused with a retry time and reads still work")
    {
        ApiFixture fixture;
        fixture.backend.storeFailure
            = Error { ErrorCode::Unavailable, "the store does not answer", Verdict::NotRun, Milliseconds(2000) };
        const auto reply
            = fixture.send("omar-key", "PUT", "/v1/config", changedDeclarations(), { { "If-Match", "1" } });
        CHECK(reply.status == 503);
        CHECK(reply.headers.at("Retry-After") == "2");
        CHECK(fixture.send("omar-key", "GET", "/v1/config").status == 200);
        CHECK(bodyOf(fixture.send("omar-key", "GET", "/v1/status"))["storeAvailable"] == false);
    }

    TEST_CASE("query filters are passed to the backend")
    {
        ApiFixture fixture;
        REQUIRE(fixture.send("omar-key", "GET", "/v1/workers?region=amman&rack=rack-1&state=leaving").status == 200);
        CHECK(fixture.backend.lastWorkerQuery.rack == RackId("rack-1"));
        CHECK(fixture.backend.lastWorkerQuery.state == model::ResourceState::Leaving);
        REQUIRE(
            fixture.send("omar-key", "GET", "/v1/audit?operator=layla&since=5&until=9&before=4&limit=7").status == 200);
        CHECK(fixture.backend.lastAuditQuery.acceptedBy == OperatorId("layla"));
        CHECK(fixture.backend.lastAuditQuery.since == timestampFromMilliseconds(5));
        CHECK(fixture.backend.lastAuditQuery.until == timestampFromMilliseconds(9));
        CHECK(fixture.backend.lastAuditQuery.before == ConfigVersion(4));
        CHECK(fixture.backend.lastAuditQuery.limit == 7);
    }

} // namespace
} // namespace rosemarylink::control
