#include "ApiFixture.h"

#include "rosemarylink/control/Authenticator.h"

namespace rosemarylink::control {
namespace {

    nlohmann::json sampleJob()
    {
        return { { "kind", "quote-drafting" }, { "tasks", 4 }, { "perTask", { { "accelerators", 1 } } },
            { "declaredRunTime", 60000 } };
    }

    std::string submit(ApiFixture& fixture, const std::string& key, const std::string& idempotencyKey)
    {
        const auto reply
            = fixture.send(key, "POST", "/v1/jobs", sampleJob(), { { "Idempotency-Key", idempotencyKey } });
        REQUIRE(reply.status == 201);
        return bodyOf(reply)["job"]["id"];
    }

    TEST_CASE("SHA-256 matches the published test vector")
    {
        // FIPS 180-4, message "abc".
        CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
        CHECK(equalInConstantTime("abc", "abc"));
        CHECK_FALSE(equalInConstantTime("abc", "abd"));
        CHECK_FALSE(equalInConstantTime("abc", "abcd"));
    }

    TEST_CASE("operator keys are parsed strictly and their hashes are not repeated in messages")
    {
        const std::string hash = sha256Hex("k1");
        CHECK(parseOperatorKeys({ "layla: " + hash }).value().at(0).sha256 == hash);
        for (const std::string& value :
            std::vector<std::string> { "layla", "layla:k1", ":" + hash, "layla:" + hash + "0" }) {
            const auto result = parseOperatorKeys({ value });
            REQUIRE_FALSE(result);
            CHECK(result.error().message.find("it must be NAME:HASH") != std::string::npos);
            CHECK(result.error().message.find(hash) == std::string::npos);
        }
        CHECK(parseOperatorKeys({ "a:" + hash, "b:" + hash }).error().message.find("have the same key")
            != std::string::npos);
        CHECK(parseOperatorKeys({ "a:" + hash, "a:" + sha256Hex("k2"), "a:" + sha256Hex("k3") })
                  .error()
                  .message.find("more than two keys")
            != std::string::npos);
    }

    TEST_CASE("requests without a known key are refused, except probes")
    {
        ApiFixture fixture;
        for (const char* target : { "/v1/status", "/v1/config", "/v1/jobs", "/v1/accounts", "/v1/audit" }) {
            const auto missing = fixture.send("", "GET", target);
            CHECK(missing.status == 401);
            CHECK(missing.headers.at("WWW-Authenticate") == "Bearer");
            CHECK(fixture.send("wrong", "GET", target).status == 401);
            CHECK(fixture.send("", "GET", target, nullptr, { { "Authorization", "Basic omar-key" } }).status == 401);
        }
        CHECK(fixture.send("", "GET", "/healthz").status == 200);
        CHECK(fixture.send("", "GET", "/readyz").status == 200);
        fixture.backend.notReady = makeError(ErrorCode::Unavailable, "leaving");
        CHECK(fixture.send("", "GET", "/readyz").status == 503);
        CHECK(fixture.send("", "GET", "/healthz").status == 200);
        const auto metrics = fixture.send("", "GET", "/metrics");
        CHECK(metrics.body.find(
                  "rosemarylink_operator_requests_total{method=\"GET\",path=\"/v1/status\",status=\"401\"} 3")
            != std::string::npos);
    }

    // Guards against a window during key rotation in which neither the old nor the new key is accepted.
    TEST_CASE("account and operator keys are rotated without a gap")
    {
        ApiFixture fixture;
        CHECK(fixture.send("layla-old", "GET", "/v1/status").status == 200);
        CHECK(fixture.send("layla-new", "GET", "/v1/status").status == 200);

        const auto store = [&](const std::vector<std::string>& hashes) {
            model::Declarations all = sampleDeclarations();
            all.accounts[1].keySha256 = hashes;
            fixture.backend.storeAs("layla", all);
        };
        const auto accepted
            = [&](const std::string& key) { return fixture.send(key, "GET", "/v1/jobs").status == 200; };
        CHECK(accepted("harbor-key-1"));
        CHECK_FALSE(accepted("harbor-key-2"));
        store({ harborHash1, harborHash2 });
        CHECK(accepted("harbor-key-1"));
        CHECK(accepted("harbor-key-2"));
        store({ harborHash2 });
        CHECK_FALSE(accepted("harbor-key-1"));
        CHECK(accepted("harbor-key-2"));
    }

    // Guards against 401 for a valid account key while an instance has not received the declarations.
    TEST_CASE("without declarations operators are authenticated and accounts get 503")
    {
        ApiFixture fixture;
        fixture.backend.configFailure
            = Error { ErrorCode::Unavailable, "no configuration is known yet", Verdict::NotRun, Milliseconds(1000) };
        CHECK(fixture.send("omar-key", "GET", "/v1/status").status == 200);
        CHECK(fixture.send("harbor-key-1", "GET", "/v1/jobs").status == 503);
        CHECK(fixture.send("", "GET", "/v1/jobs").status == 401);
    }

    TEST_CASE("an account can read only its own jobs")
    {
        ApiFixture fixture;
        const std::string harborJob = submit(fixture, "harbor-key-1", "h1");
        const std::string depotJob = submit(fixture, "depot-key-1", "d1");

        const auto list = bodyOf(fixture.send("harbor-key-1", "GET", "/v1/jobs"))["jobs"];
        REQUIRE(list.size() == 1);
        CHECK(list[0]["job"]["id"] == harborJob);
        CHECK(fixture.send("harbor-key-1", "GET", "/v1/jobs?account=depot").status == 403);
        CHECK(fixture.send("harbor-key-1", "GET", "/v1/jobs/" + harborJob).status == 200);

        // Another account's job answers exactly as one that does not exist.
        const Error foreign = fixture.failure("harbor-key-1", "GET", "/v1/jobs/" + depotJob);
        const Error absent = fixture.failure("harbor-key-1", "GET", "/v1/jobs/none");
        CHECK(foreign.code == ErrorCode::NotFound);
        CHECK(foreign.message == "there is no job with the id \"" + depotJob + "\"");
        CHECK(absent.message == "there is no job with the id \"none\"");
        CHECK(fixture.failure("harbor-key-1", "GET", "/v1/jobs/" + depotJob + "/explain").code == ErrorCode::NotFound);

        const auto own = fixture.send("harbor-key-1", "GET", "/v1/jobs/" + harborJob + "/explain");
        CHECK(own.status == 200);
        CHECK(own.body.find(depotJob) == std::string::npos);
        CHECK(bodyOf(fixture.send("omar-key", "GET", "/v1/jobs/" + harborJob + "/explain"))["waitsFor"]
            == nlohmann::json({ depotJob }));
        CHECK(bodyOf(fixture.send("omar-key", "GET", "/v1/jobs"))["jobs"].size() == 2);
    }

    TEST_CASE("an account may only submit, read and cancel its own jobs")
    {
        ApiFixture fixture;
        const std::string job = submit(fixture, "harbor-key-1", "h1");
        const std::string depotJob = submit(fixture, "depot-key-1", "d1");
        const std::vector<std::pair<std::string, std::string>> operatorsOnly { { "GET", "/v1/status" },
            { "GET", "/v1/config" }, { "PUT", "/v1/config" }, { "GET", "/v1/config/versions/1" },
            { "GET", "/v1/preset" }, { "PUT", "/v1/preset" }, { "GET", "/v1/accounts" }, { "GET", "/v1/workers" },
            { "GET", "/v1/audit" } };
        for (const auto& [method, target] : operatorsOnly) {
            CAPTURE(method, target);
            CHECK(fixture.send("harbor-key-1", method, target).status == 403);
        }
        CHECK(fixture.failure("harbor-key-1", "DELETE", "/v1/jobs/" + depotJob).code == ErrorCode::NotFound);
        CHECK(fixture.backend.job(JobId(depotJob)).value().state == api::JobState::Waiting);
        CHECK(fixture.backend.job(JobId(job)).value().state == api::JobState::Waiting);
        CHECK(bodyOf(fixture.send("harbor-key-1", "DELETE", "/v1/jobs/" + job))["state"] == "cancelled");
        nlohmann::json foreign = sampleJob();
        foreign["account"] = "depot";
        CHECK(fixture.send("harbor-key-1", "POST", "/v1/jobs", foreign).status == 403);
        CHECK(fixture.backend.submissions == 2);
    }

    TEST_CASE("a submission takes its account from the key and its worth from the declarations")
    {
        ApiFixture fixture;
        const std::string id = submit(fixture, "harbor-key-1", "h1");
        CHECK(submit(fixture, "harbor-key-1", "h1") == id);
        CHECK(fixture.backend.submissions == 1);
        const auto view = fixture.backend.job(JobId(id)).value();
        CHECK(view.job.account == AccountId("harbor"));
        CHECK(view.job.worth == 50);
        nlohmann::json greedy = sampleJob();
        greedy["worth"] = 1000;
        CHECK(fixture.failure("harbor-key-1", "POST", "/v1/jobs", greedy).message.find("worth") != std::string::npos);
    }

    TEST_CASE("invalid submissions are refused with key, value and allowed values")
    {
        ApiFixture fixture;
        const auto message = [&](const std::string& key, const nlohmann::json& body) {
            return fixture.failure("omar-key", "POST", "/v1/jobs", body, { { "Idempotency-Key", key } }).message;
        };
        CHECK(message("k", sampleJob()).find("an operator must name the account") != std::string::npos);
        nlohmann::json job = sampleJob();
        job["account"] = "nobody";
        CHECK(message("k", job).find("it must be a declared client account") != std::string::npos);
        job["account"] = "harbor";
        for (const std::string& key : { std::string(129, 'k'), std::string("two words") })
            CHECK(message(key, job).find("it must have 1 to 128 visible ASCII characters") != std::string::npos);
        job["tasks"] = 129;
        CHECK(message("k", job).find("JobSubmission.tasks") != std::string::npos);
        CHECK(fixture.backend.submissions == 0);
    }

    TEST_CASE("an operator cancels any job")
    {
        ApiFixture fixture;
        const std::string job = submit(fixture, "depot-key-1", "d1");
        CHECK(bodyOf(fixture.send("omar-key", "DELETE", "/v1/jobs/" + job))["state"] == "cancelled");
        CHECK(fixture.send("omar-key", "DELETE", "/v1/jobs/none").status == 404);
    }

} // namespace
} // namespace rosemarylink::control
