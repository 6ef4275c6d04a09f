#include "rosemarylink/transport/HttpServer.h"

#include "rosemarylink/base/JsonReader.h"

#include <Poco/SHA1Engine.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

namespace rosemarylink::transport {

bool HeaderLess::operator()(const std::string& a, const std::string& b) const { return Poco::icompare(a, b) < 0; }

std::string HttpRequest::header(const std::string& name, const std::string& fallback) const
{
    const auto position = headers.find(name);
    return position == headers.end() ? fallback : position->second;
}

std::string HttpRequest::queryValue(const std::string& name, const std::string& fallback) const
{
    const auto position = query.find(name);
    return position == query.end() ? fallback : position->second;
}

HttpResponse jsonResponse(const nlohmann::json& json, int status)
{
    HttpResponse response;
    response.status = status;
    response.body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

HttpResponse withEntityTag(const HttpRequest& request, HttpResponse response)
{
    Poco::SHA1Engine digest;
    digest.update(response.body);
    const std::string tag = "\"" + Poco::DigestEngine::digestToHex(digest.digest()) + "\"";
    response.headers["ETag"] = tag;
    if (request.header("If-None-Match") == tag) {
        response.status = 304;
        response.body.clear();
    }
    return response;
}

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return 400;
    case ErrorCode::Unauthenticated:
        return 401;
    case ErrorCode::PermissionDenied:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
    case ErrorCode::Fenced:
        return 409;
    case ErrorCode::ResourceExhausted:
        return 429;
    case ErrorCode::Internal:
    case ErrorCode::Unsupported:
        return 500;
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::DeadlineExceeded:
        return 504;
    }
    return 500;
}

HttpResponse errorResponse(const Error& error)
{
    nlohmann::json body = { { "code", errorCodeName(error.code) }, { "message", error.message },
        { "verdict", verdictName(error.verdict) } };
    if (error.retryAfter)
        body["retryAfterMs"] = error.retryAfter->count();
    HttpResponse response = jsonResponse({ { "error", body } }, httpStatus(error.code));
    response.headers["Rosemarylink-Verdict"] = std::string(verdictName(error.verdict));
    if (error.retryAfter)
        response.headers["Retry-After"] = std::to_string((error.retryAfter->count() + 999) / 1000);
    return response;
}

Error errorFromResponse(int status, const std::string& body)
{
    Error error { ErrorCode::Internal, "HTTP status " + std::to_string(status), Verdict::MayHaveRun, std::nullopt };
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object())
        return error;
    const auto& fields = json["error"];
    error.message = fields.value("message", error.message);
    error.verdict = parseVerdict(fields.value("verdict", "")).value_or(Verdict::MayHaveRun);
    if (fields.contains("retryAfterMs") && fields["retryAfterMs"].is_number_integer())
        error.retryAfter = Milliseconds(fields["retryAfterMs"].get<std::int64_t>());
    for (int code = 0; code <= static_cast<int>(ErrorCode::Internal); ++code) {
        if (errorCodeName(static_cast<ErrorCode>(code)) == fields.value("code", ""))
            error.code = static_cast<ErrorCode>(code);
    }
    return error;
}

namespace {

    std::vector<std::string> splitPath(const std::string& path)
    {
        const Poco::StringTokenizer tokens(path, "/", Poco::StringTokenizer::TOK_IGNORE_EMPTY);
        return { tokens.begin(), tokens.end() };
    }

    bool isParameter(const std::string& segment) { return segment.size() > 2 && segment.front() == '{'; }

    bool matchesRest(const std::string& segment)
    {
        return isParameter(segment) && segment.size() > 5 && segment.compare(segment.size() - 4, 4, "...}") == 0;
    }

    // Returns true and sets the parameters when the path matches the pattern.
    bool matches(const std::vector<std::string>& pattern, const std::vector<std::string>& path,
        std::map<std::string, std::string>& parameters)
    {
        for (std::size_t index = 0; index < pattern.size(); ++index) {
            const std::string& segment = pattern[index];
            if (index >= path.size())
                return false;
            if (matchesRest(segment)) {
                std::string rest = path[index];
                for (std::size_t next = index + 1; next < path.size(); ++next)
                    rest += "/" + path[next];
                parameters[segment.substr(1, segment.size() - 5)] = rest;
                return true;
            }
            if (isParameter(segment))
                parameters[segment.substr(1, segment.size() - 2)] = path[index];
            else if (segment != path[index])
                return false;
        }
        return pattern.size() == path.size();
    }

} // namespace

void HttpRouter::add(const std::string& method, const std::string& pattern, HttpHandler handler)
{
    routes_.push_back({ method, splitPath(pattern), std::move(handler) });
}

HttpResponse HttpRouter::route(HttpRequest request) const
{
    const std::vector<std::string> path = splitPath(request.path);
    bool pathKnown = false;
    for (const Route& route : routes_) {
        std::map<std::string, std::string> parameters;
        if (!matches(route.segments, path, parameters))
            continue;
        pathKnown = true;
        if (route.method != request.method)
            continue;
        request.parameters = std::move(parameters);
        return route.handler(request);
    }
    HttpResponse response = errorResponse(makeError(ErrorCode::NotFound,
        pathKnown ? request.method + " is not allowed on " + request.path : "no such path: " + request.path));
    if (pathKnown)
        response.status = 405;
    return response;
}

} // namespace rosemarylink::transport
