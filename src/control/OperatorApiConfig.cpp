#include "rosemarylink/base/Log.h"
#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/control/DeclarationRules.h"
#include "rosemarylink/control/OperatorApi.h"
#include "rosemarylink/control/TimeText.h"

#include "RequestInput.h"

#include <algorithm>

namespace rosemarylink::control {

using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::jsonResponse;

namespace {

    const Logger& logger()
    {
        static const Logger instance("operators");
        return instance;
    }

    // Attempts of a preset change without If-Match. The change does not depend on other changes, so after a conflict it
    // is retried on the new version.
    constexpr int maximumPresetAttempts = 4;

    Error conflictWith(const api::ConfigView& stored, ConfigVersion expected)
    {
        return makeError(ErrorCode::Conflict,
            "version " + std::to_string(stored.version.value()) + " was accepted from "
                + (stored.acceptedBy.empty() ? "an unknown operator" : stored.acceptedBy.value()) + " at "
                + formatTime(stored.acceptedAt) + ", but the change was made for version "
                + std::to_string(expected.value()) + "; compare with the stored version, then apply again");
    }

    HttpResponse changeResponse(const Result<api::ConfigChange>& change)
    {
        if (!change)
            return errorResponse(change.error());
        HttpResponse response = jsonResponse(api::toJson(change.value()));
        response.headers["ETag"] = "\"" + std::to_string(change.value().version.value()) + "\"";
        return response;
    }

    Result<model::Declarations> readDeclarations(const HttpRequest& request)
    {
        BOOST_OUTCOME_TRY(json, internal::readBody(request));
        BOOST_OUTCOME_TRY(declarations, model::parseDeclarations(json));
        BOOST_OUTCOME_TRYV(checkDeclarations(declarations));
        return normalized(std::move(declarations));
    }

} // namespace

Result<api::ConfigChange> OperatorApi::applyChange(
    model::Declarations declarations, const api::ConfigView& stored, const OperatorId& proposer, bool dryRun)
{
    api::ConfigChange result { stored.version, false, dryRun, {}, std::nullopt };
    const model::Declarations before = normalized(stored.declarations);
    if (stored.version.value() > 0 && model::toJson(declarations) == model::toJson(before))
        return result;
    BOOST_OUTCOME_TRYV(backend_.checkFeasibility(declarations));
    result.changed = true;
    result.changes = describeChanges(before, declarations);
    if (dryRun)
        return result;
    ConfigProposal proposal { std::move(declarations), stored.version, proposer, makeRandomId<OperationId>(),
        result.changes };
    BOOST_OUTCOME_TRY(accepted, backend_.proposeConfig(proposal));
    result.version = accepted.version;
    logger().info("configuration accepted",
        { { "version", accepted.version }, { "operator", proposer }, { "operation", proposal.operation } });
    return result;
}

HttpResponse OperatorApi::config(const HttpRequest& request, const Principal&)
{
    if (const Status query = internal::checkQuery(request, {}); !query)
        return errorResponse(query.error());
    const auto view = backend_.currentConfig();
    if (!view)
        return errorResponse(view.error());
    HttpResponse response = jsonResponse(api::toJson(view.value()));
    response.headers["ETag"] = "\"" + std::to_string(view.value().version.value()) + "\"";
    return response;
}

HttpResponse OperatorApi::putConfig(const HttpRequest& request, const Principal& principal)
{
    const auto run = [&]() -> Result<api::ConfigChange> {
        BOOST_OUTCOME_TRYV(internal::checkQuery(request, { "dryRun" }));
        BOOST_OUTCOME_TRY(dryRun, internal::queryFlag(request, "dryRun"));
        BOOST_OUTCOME_TRY(expected, internal::ifMatchVersion(request));
        if (!expected) {
            return invalidArgument("the header If-Match is missing; it must be the configuration version that the "
                                   "change was made for, as GET /v1/config returns it, or 0 when there is none");
        }
        BOOST_OUTCOME_TRY(declarations, readDeclarations(request));
        BOOST_OUTCOME_TRY(stored, backend_.storedConfig());
        // A retry after a lost reply finds its own version stored and succeeds.
        const bool same = stored.version.value() > 0
            && model::toJson(declarations) == model::toJson(normalized(stored.declarations));
        if (stored.version != *expected && !same)
            return conflictWith(stored, *expected);
        return applyChange(std::move(declarations), stored, *principal.operatorId, dryRun);
    };
    return changeResponse(run());
}

HttpResponse OperatorApi::configVersion(const HttpRequest& request, const Principal&)
{
    const auto run = [&]() -> Result<api::InForceView> {
        BOOST_OUTCOME_TRYV(internal::checkQuery(request, {}));
        BOOST_OUTCOME_TRY(version, internal::parseVersion("the path", request.parameters.at("version")));
        return backend_.inForce(version);
    };
    const auto view = run();
    return view ? jsonResponse(api::toJson(view.value())) : errorResponse(view.error());
}

HttpResponse OperatorApi::preset(const HttpRequest& request, const Principal&)
{
    if (const Status query = internal::checkQuery(request, {}); !query)
        return errorResponse(query.error());
    const auto view = backend_.currentConfig();
    if (!view)
        return errorResponse(view.error());
    return jsonResponse(api::toJson(api::PresetView { view.value().declarations.preset, view.value().version }));
}

HttpResponse OperatorApi::putPreset(const HttpRequest& request, const Principal& principal)
{
    const auto attempt
        = [&](model::Preset preset, std::optional<ConfigVersion> expected, bool dryRun) -> Result<api::ConfigChange> {
        BOOST_OUTCOME_TRY(stored, backend_.storedConfig());
        if (stored.version.value() == 0)
            return invalidArgument("there are no declarations yet; apply a directory of declarations first");
        if (expected && stored.version != *expected && stored.declarations.preset != preset)
            return conflictWith(stored, *expected);
        model::Declarations declarations = normalized(stored.declarations);
        declarations.preset = preset;
        return applyChange(std::move(declarations), stored, *principal.operatorId, dryRun);
    };
    const auto run = [&]() -> Result<api::ConfigChange> {
        BOOST_OUTCOME_TRYV(internal::checkQuery(request, { "dryRun" }));
        BOOST_OUTCOME_TRY(dryRun, internal::queryFlag(request, "dryRun"));
        BOOST_OUTCOME_TRY(expected, internal::ifMatchVersion(request));
        BOOST_OUTCOME_TRY(json, internal::readBody(request));
        BOOST_OUTCOME_TRY(body, api::parsePresetRequest(json));
        auto result = attempt(body.preset, expected, dryRun);
        for (int repeat = 1; repeat < maximumPresetAttempts && !expected && !result; ++repeat) {
            if (result.error().code != ErrorCode::Conflict)
                break;
            result = attempt(body.preset, expected, dryRun);
        }
        return result;
    };
    return changeResponse(run());
}

namespace {

    Result<AuditQuery> readAuditQuery(const HttpRequest& request)
    {
        BOOST_OUTCOME_TRYV(internal::checkQuery(request, { "operator", "since", "until", "before", "limit" }));
        AuditQuery query;
        query.acceptedBy = internal::queryId<OperatorId>(request, "operator");
        const IntegerRange times { 0, std::int64_t(253402300799999) }; // up to the year 9999
        BOOST_OUTCOME_TRY(since, internal::queryInteger(request, "since", times));
        BOOST_OUTCOME_TRY(until, internal::queryInteger(request, "until", times));
        BOOST_OUTCOME_TRY(before, internal::queryInteger(request, "before", { 1, std::int64_t(1) << 53 }));
        BOOST_OUTCOME_TRY(limit, internal::queryInteger(request, "limit", { 1, 1000 }));
        if (since)
            query.since = timestampFromMilliseconds(*since);
        if (until)
            query.until = timestampFromMilliseconds(*until);
        if (before)
            query.before = ConfigVersion(*before);
        query.limit = limit.value_or(query.limit);
        return query;
    }

} // namespace

HttpResponse OperatorApi::audit(const HttpRequest& request, const Principal&)
{
    const auto query = readAuditQuery(request);
    if (!query)
        return errorResponse(query.error());
    const auto list = backend_.audit(query.value());
    return list ? jsonResponse(api::toJson(list.value())) : errorResponse(list.error());
}

} // namespace rosemarylink::control
