#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/control/OperatorApi.h"

#include "RequestInput.h"

#include <algorithm>

namespace rosemarylink::control {

using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::jsonResponse;

namespace {

    Result<AccountId> submittingAccount(const api::JobSubmission& submission, const Principal& principal)
    {
        if (principal.operatorId) {
            if (!submission.account)
                return invalidArgument("JobSubmission lacks the key \"account\"; an operator must name the account");
            return *submission.account;
        }
        if (submission.account && *submission.account != *principal.account) {
            return makeError(ErrorCode::PermissionDenied,
                "JobSubmission.account is \"" + submission.account->value()
                    + "\"; a client account may submit for "
                      "itself only, so it must be absent or \""
                    + principal.account->value() + "\"");
        }
        return *principal.account;
    }

    Result<IdempotencyKey> idempotencyKey(const HttpRequest& request)
    {
        const std::string key = request.header("Idempotency-Key");
        if (key.empty())
            return makeRandomId<IdempotencyKey>();
        BOOST_OUTCOME_TRYV(internal::checkIdempotencyKey("the header Idempotency-Key", key));
        return IdempotencyKey(key);
    }

    bool isDeclared(const model::Declarations& declarations, const AccountId& id)
    {
        for (const model::Account& account : declarations.accounts) {
            if (account.id == id)
                return true;
        }
        return false;
    }

    double worthOf(const model::Declarations& declarations, const KindId& kind)
    {
        for (const model::KindWorth& worth : declarations.worths) {
            if (worth.kind == kind)
                return worth.worth;
        }
        return model::JobSpec {}.worth;
    }

    model::JobSpec makeJob(
        const api::JobSubmission& submission, const AccountId& account, const model::Declarations& declarations)
    {
        model::JobSpec job;
        job.account = account;
        job.kind = submission.kind;
        job.tasks = submission.tasks;
        job.perTask = submission.perTask;
        job.command = submission.command;
        job.adjacency = submission.adjacency;
        job.declaredRunTime = submission.declaredRunTime;
        job.worth = worthOf(declarations, submission.kind);
        job.urgent = submission.urgent;
        job.idempotent = submission.idempotent;
        job.checkpointable = submission.checkpointable;
        job.region = submission.region;
        return job;
    }

    Result<JobQuery> readJobQuery(const HttpRequest& request)
    {
        BOOST_OUTCOME_TRYV(internal::checkQuery(request, { "account", "state", "after", "limit" }));
        JobQuery query;
        query.account = internal::queryId<AccountId>(request, "account");
        query.after = internal::queryId<JobId>(request, "after");
        BOOST_OUTCOME_TRY(limit, internal::queryInteger(request, "limit", { 1, 1000 }));
        query.limit = limit.value_or(query.limit);
        const std::string state = request.queryValue("state");
        if (!state.empty()) {
            BOOST_OUTCOME_TRY(parsed, api::parseJobState(state, "query parameter \"state\""));
            query.state = parsed;
        }
        return query;
    }

    Error unknownJob(const JobId& id)
    {
        return makeError(ErrorCode::NotFound, "there is no job with the id \"" + id.value() + "\"");
    }

} // namespace

HttpResponse OperatorApi::submitJob(const HttpRequest& request, const Principal& principal)
{
    const auto run = [&]() -> Result<api::JobView> {
        BOOST_OUTCOME_TRYV(internal::checkQuery(request, {}));
        BOOST_OUTCOME_TRY(json, internal::readBody(request));
        BOOST_OUTCOME_TRY(submission, api::parseJobSubmission(json));
        BOOST_OUTCOME_TRY(account, submittingAccount(submission, principal));
        BOOST_OUTCOME_TRY(key, idempotencyKey(request));
        BOOST_OUTCOME_TRY(current, backend_.currentConfig());
        if (!isDeclared(current.declarations, account)) {
            return invalidArgument("JobSubmission.account is \"" + account.value()
                + "\"; it must be a declared client account, see GET /v1/accounts");
        }
        return backend_.submitJob({ makeJob(submission, account, current.declarations), key });
    };
    const auto view = run();
    return view ? jsonResponse(api::toJson(view.value()), 201) : errorResponse(view.error());
}

HttpResponse OperatorApi::jobs(const HttpRequest& request, const Principal& principal)
{
    auto query = readJobQuery(request);
    if (!query)
        return errorResponse(query.error());
    if (principal.account) {
        if (query.value().account && *query.value().account != *principal.account) {
            return errorResponse(makeError(ErrorCode::PermissionDenied,
                "query parameter \"account\" must be absent or \"" + principal.account->value()
                    + "\"; a client account sees its own jobs only"));
        }
        query.value().account = principal.account;
    }
    const auto list = backend_.jobs(query.value());
    return list ? jsonResponse(api::toJson(list.value())) : errorResponse(list.error());
}

Result<api::JobView> OperatorApi::visibleJob(const JobId& id, const Principal& principal)
{
    BOOST_OUTCOME_TRY(view, backend_.job(id));
    if (principal.account && view.job.account != *principal.account)
        return unknownJob(id);
    return view;
}

HttpResponse OperatorApi::job(const HttpRequest& request, const Principal& principal)
{
    if (const Status query = internal::checkQuery(request, {}); !query)
        return errorResponse(query.error());
    const JobId id(request.parameters.at("id"));
    const auto view = visibleJob(id, principal);
    if (view)
        return jsonResponse(api::toJson(view.value()));
    // An absent job and a job of another account give the same message, so that ids cannot be probed.
    return errorResponse(view.error().code == ErrorCode::NotFound ? unknownJob(id) : view.error());
}

HttpResponse OperatorApi::cancelJob(const HttpRequest& request, const Principal& principal)
{
    const JobId id(request.parameters.at("id"));
    const auto run = [&]() -> Result<api::JobView> {
        BOOST_OUTCOME_TRYV(internal::checkQuery(request, {}));
        BOOST_OUTCOME_TRYV(visibleJob(id, principal));
        return backend_.cancelJob(id);
    };
    const auto view = run();
    if (!view)
        return errorResponse(view.error().code == ErrorCode::NotFound ? unknownJob(id) : view.error());
    return jsonResponse(api::toJson(view.value()));
}

HttpResponse OperatorApi::explainJob(const HttpRequest& request, const Principal& principal)
{
    const JobId id(request.parameters.at("id"));
    const auto run = [&]() -> Result<api::JobExplanation> {
        BOOST_OUTCOME_TRYV(internal::checkQuery(request, {}));
        BOOST_OUTCOME_TRYV(visibleJob(id, principal));
        BOOST_OUTCOME_TRY(explanation, backend_.explainJob(id));
        auto& waitsFor = explanation.waitsFor;
        waitsFor.erase(std::remove_if(waitsFor.begin(), waitsFor.end(),
                           [&](const JobId& other) { return !visibleJob(other, principal); }),
            waitsFor.end());
        return explanation;
    };
    const auto view = run();
    if (!view)
        return errorResponse(view.error().code == ErrorCode::NotFound ? unknownJob(id) : view.error());
    return jsonResponse(api::toJson(view.value()));
}

} // namespace rosemarylink::control
