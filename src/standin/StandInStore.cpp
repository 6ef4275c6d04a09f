#include "rosemarylink/standin/StandInStore.h"

#include <Poco/Base64Encoder.h>
#include <Poco/NumberParser.h>

#include <chrono>
#include <sstream>
#include <thread>

namespace rosemarylink::standin {

using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::jsonResponse;

namespace {

    // Changes kept for watches. A watch that is further behind misses the older changes.
    constexpr std::size_t maximumChanges = 10000;

    // The platform's limit on the size of a value.
    constexpr std::size_t maximumValueSize = 1 << 20; // bytes

    std::string base64(const std::string& bytes)
    {
        std::ostringstream text;
        Poco::Base64Encoder encoder(text);
        encoder.rdbuf()->setLineLength(0);
        encoder << bytes;
        encoder.close();
        return text.str();
    }

    std::optional<Revision> expectedRevision(const HttpRequest& request)
    {
        Poco::Int64 revision = 0;
        if (!Poco::NumberParser::tryParse64(request.header("If-Revision"), revision) || revision < 0)
            return std::nullopt;
        return Revision(revision);
    }

    HttpResponse conflictResponse(Revision current)
    {
        HttpResponse response = errorResponse(makeError(ErrorCode::Conflict, "the revision differs"));
        response.headers["Revision"] = std::to_string(current.value());
        return response;
    }

    std::int64_t queryNumber(const HttpRequest& request, const std::string& name, std::int64_t fallback)
    {
        Poco::Int64 number = fallback;
        Poco::NumberParser::tryParse64(request.queryValue(name), number);
        return number;
    }

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

} // namespace

StandInStore::StandInStore(const Clock& clock)
    : clock_(clock)
{
}

void StandInStore::registerRoutes(transport::HttpRouter& router)
{
    addRoute(router, "read", "GET", "/kv/value/{key...}", &StandInStore::read);
    addRoute(router, "write", "PUT", "/kv/value/{key...}", &StandInStore::write);
    addRoute(router, "write", "DELETE", "/kv/value/{key...}", &StandInStore::removeValue);
    addRoute(router, "read", "GET", "/kv/list", &StandInStore::list);
    addRoute(router, "watch", "GET", "/kv/watch", &StandInStore::watch);
    addRoute(router, "lease", "POST", "/kv/leases", &StandInStore::grantLease);
    addRoute(router, "lease", "POST", "/kv/leases/{lease}/renew", &StandInStore::renewLease);
    addRoute(router, "lease", "DELETE", "/kv/leases/{lease}", &StandInStore::revokeLease);
    router.add("GET", "/kv/calls", [this](const HttpRequest&) { return callCounts(); });
}

void StandInStore::addRoute(transport::HttpRouter& router, const std::string& kind, const std::string& method,
    const std::string& pattern, Handler handler)
{
    router.add(
        method, pattern, [this, kind, handler](const HttpRequest& request) { return serve(kind, request, handler); });
}

void StandInStore::setFaults(const platform::Faults& faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    if (!faults.storeLapseLeases)
        return;
    while (!leases_.empty())
        endLease(leases_.begin()->first);
}

HttpResponse StandInStore::serve(const std::string& kind, const HttpRequest& request, Handler handler)
{
    Milliseconds delay { 0 };
    bool loseReply = false;
    {
        const std::lock_guard lock(mutex_);
        ++callCounts_[kind];
        if (faults_.storeDown)
            return errorResponse(unavailable("the store is down", Verdict::NotRun));
        delay = faults_.storeSlowMs;
        if (kind == "write" && faults_.storeLoseReplies > 0) {
            --faults_.storeLoseReplies;
            loseReply = true;
        }
        expireLeases();
    }
    if (delay.count() > 0)
        std::this_thread::sleep_for(delay);
    HttpResponse response = (this->*handler)(request);
    response.closeWithoutAnswer = loseReply;
    return response;
}

HttpResponse StandInStore::read(const HttpRequest& request)
{
    const std::lock_guard lock(mutex_);
    const auto position = values_.find(request.parameters.at("key"));
    if (position == values_.end())
        return errorResponse(makeError(ErrorCode::NotFound, "no such key"));
    HttpResponse response;
    response.contentType = "application/cbor";
    response.body = position->second.bytes;
    response.headers["Revision"] = std::to_string(position->second.revision.value());
    return response;
}

HttpResponse StandInStore::write(const HttpRequest& request)
{
    const auto expected = expectedRevision(request);
    if (!expected)
        return errorResponse(invalidArgument("the header If-Revision must be a whole number of at least 0"));
    if (request.body.size() > maximumValueSize)
        return errorResponse(invalidArgument("a value may have at most 1048576 bytes"));
    const std::string& key = request.parameters.at("key");
    const std::lock_guard lock(mutex_);
    if (revisionOf(key) != *expected)
        return conflictResponse(revisionOf(key));
    std::optional<LeaseId> lease;
    if (!request.header("Lease").empty()) {
        lease = LeaseId(request.header("Lease"));
        if (leases_.count(*lease) == 0)
            return errorResponse(makeError(ErrorCode::NotFound, "no such lease"));
    }
    recordChange(key, request.body);
    values_[key] = { request.body, lastRevision_, lease };
    HttpResponse response = jsonResponse(nlohmann::json::object());
    response.headers["Revision"] = std::to_string(lastRevision_.value());
    return response;
}

HttpResponse StandInStore::removeValue(const HttpRequest& request)
{
    const auto expected = expectedRevision(request);
    if (!expected)
        return errorResponse(invalidArgument("the header If-Revision must be a whole number of at least 0"));
    const std::string& key = request.parameters.at("key");
    const std::lock_guard lock(mutex_);
    if (revisionOf(key) != *expected)
        return conflictResponse(revisionOf(key));
    if (values_.erase(key) > 0)
        recordChange(key, std::nullopt);
    return jsonResponse(nlohmann::json::object());
}

HttpResponse StandInStore::list(const HttpRequest& request)
{
    const std::string prefix = request.queryValue("prefix");
    const std::lock_guard lock(mutex_);
    nlohmann::json entries = nlohmann::json::array();
    for (auto position = values_.lower_bound(prefix); position != values_.end() && startsWith(position->first, prefix);
         ++position) {
        entries.push_back({ { "key", position->first }, { "revision", position->second.revision.value() },
            { "value", base64(position->second.bytes) } });
    }
    HttpResponse response = jsonResponse(entries);
    response.headers["Revision"] = std::to_string(lastRevision_.value());
    return response;
}

HttpResponse StandInStore::watch(const HttpRequest& request)
{
    const std::string prefix = request.queryValue("prefix");
    const Revision after(queryNumber(request, "after", 0));
    const auto deadline = std::chrono::steady_clock::now()
        + Milliseconds(std::min<std::int64_t>(queryNumber(request, "timeoutMs", 0), 60000));
    std::unique_lock lock(mutex_);
    nlohmann::json events = nlohmann::json::array();
    const auto collect = [&] {
        for (const Change& change : changes_) {
            if (change.revision <= after || !startsWith(change.key, prefix))
                continue;
            nlohmann::json event { { "key", change.key }, { "revision", change.revision.value() } };
            if (change.bytes)
                event["value"] = base64(*change.bytes);
            events.push_back(event);
        }
        return !events.empty();
    };
    changed_.wait_until(lock, deadline, collect);
    HttpResponse response = jsonResponse(events);
    response.headers["Revision"] = std::to_string(lastRevision_.value());
    return response;
}

HttpResponse StandInStore::grantLease(const HttpRequest& request)
{
    const auto grant = platform::parseLeaseGrant(nlohmann::json::parse(request.body, nullptr, false));
    if (!grant)
        return errorResponse(grant.error());
    const std::lock_guard lock(mutex_);
    const LeaseId lease("lease-" + std::to_string(++lastLease_));
    leases_[lease] = { grant.value().ttlMs, clock_.monotonic() + grant.value().ttlMs };
    return jsonResponse({ { "lease", lease.value() } });
}

HttpResponse StandInStore::renewLease(const HttpRequest& request)
{
    const std::lock_guard lock(mutex_);
    const auto position = leases_.find(LeaseId(request.parameters.at("lease")));
    if (position == leases_.end())
        return errorResponse(makeError(ErrorCode::NotFound, "no such lease"));
    position->second.expiresAt = clock_.monotonic() + position->second.ttl;
    return jsonResponse(nlohmann::json::object());
}

HttpResponse StandInStore::revokeLease(const HttpRequest& request)
{
    const std::lock_guard lock(mutex_);
    endLease(LeaseId(request.parameters.at("lease")));
    return jsonResponse(nlohmann::json::object());
}

HttpResponse StandInStore::callCounts()
{
    const std::lock_guard lock(mutex_);
    return jsonResponse(callCounts_);
}

Revision StandInStore::revisionOf(const std::string& key) const
{
    const auto position = values_.find(key);
    return position == values_.end() ? Revision(0) : position->second.revision;
}

void StandInStore::recordChange(const std::string& key, const std::optional<std::string>& bytes)
{
    lastRevision_ += Revision(1);
    changes_.push_back({ lastRevision_, key, bytes });
    if (changes_.size() > maximumChanges)
        changes_.pop_front();
    changed_.notify_all();
}

void StandInStore::endLease(const LeaseId& lease)
{
    if (leases_.erase(lease) == 0)
        return;
    for (auto position = values_.begin(); position != values_.end();) {
        if (position->second.lease != lease) {
            ++position;
            continue;
        }
        recordChange(position->first, std::nullopt);
        position = values_.erase(position);
    }
}

void StandInStore::expireLeases()
{
    const Milliseconds now = clock_.monotonic();
    std::vector<LeaseId> expired;
    for (const auto& [id, lease] : leases_) {
        if (lease.expiresAt <= now)
            expired.push_back(id);
    }
    for (const LeaseId& id : expired)
        endLease(id);
}

} // namespace rosemarylink::standin
