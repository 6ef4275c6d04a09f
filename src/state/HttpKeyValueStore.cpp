#include "rosemarylink/state/HttpKeyValueStore.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <mutex>
#include <sstream>
#include <utility>

namespace rosemarylink::state {

namespace {

    using Poco::Net::HTTPRequest;
    using Poco::Net::HTTPResponse;
    using Session = Poco::Net::HTTPClientSession;

    constexpr std::size_t maximumIdle = 8;

    struct Reply {
        int status = 0;
        Revision revision;
        std::string body;
    };

    struct Call {
        std::string method;
        std::string target;
        std::vector<std::pair<std::string, std::string>> headers;
        std::string body;
        Milliseconds timeout { 0 };
    };

    // Leaves slashes unescaped, because they are part of the path.
    std::string encodePath(const std::string& text)
    {
        std::string encoded;
        Poco::URI::encode(text, "?#%&=+ ", encoded);
        return encoded;
    }

    std::string encodeQuery(const std::string& text)
    {
        std::string encoded;
        Poco::URI::encode(text, "?#%&=+/ ", encoded);
        return encoded;
    }

    std::string decodeBase64(const std::string& text)
    {
        std::istringstream input(text);
        Poco::Base64Decoder decoder(input);
        std::string bytes;
        Poco::StreamCopier::copyToString(decoder, bytes);
        return bytes;
    }

    Revision parseRevision(const std::string& text) { return Revision(std::strtoll(text.c_str(), nullptr, 10)); }

    // For a status that the interface does not define. The store may have processed the request before it failed.
    Error unexpectedStatus(const Reply& reply)
    {
        return unavailable("the store answered with status " + std::to_string(reply.status), Verdict::MayHaveRun);
    }

    Error malformedReply(const std::string& what)
    {
        return makeError(ErrorCode::Internal, "the store's answer to " + what + " is malformed");
    }

} // namespace

class HttpKeyValueStore::Connections {
public:
    explicit Connections(const std::string& address)
        : address_(address)
    {
    }

    Result<Reply> send(const Call&);

private:
    std::unique_ptr<Session> acquire();
    void release(std::unique_ptr<Session>);

    Poco::Net::SocketAddress address_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<Session>> idle_;
};

std::unique_ptr<Session> HttpKeyValueStore::Connections::acquire()
{
    const std::lock_guard lock(mutex_);
    while (!idle_.empty()) {
        std::unique_ptr<Session> session = std::move(idle_.back());
        idle_.pop_back();
        // A readable idle connection was closed by the store or holds an unread reply; neither can be reused.
        if (session->connected() && !session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return session;
    }
    auto session = std::make_unique<Session>(address_.host().toString(), address_.port());
    session->setKeepAlive(true);
    return session;
}

void HttpKeyValueStore::Connections::release(std::unique_ptr<Session> session)
{
    const std::lock_guard lock(mutex_);
    if (idle_.size() < maximumIdle)
        idle_.push_back(std::move(session));
}

Result<Reply> HttpKeyValueStore::Connections::send(const Call& call)
{
    Verdict verdict = Verdict::NotRun;
    try {
        std::unique_ptr<Session> session = acquire();
        const Poco::Timespan timeout(call.timeout.count() * 1000);
        session->setTimeout(timeout);
        HTTPRequest request(call.method, call.target, HTTPRequest::HTTP_1_1);
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
        if (!session->connected()) {
            // Connects explicitly, so that a failure before any byte of the request was sent is reported as NotRun.
            session->socket().connect(address_, timeout);
            session->socket().setNoDelay(true);
        }
        verdict = Verdict::MayHaveRun;
        session->sendRequest(request).write(call.body.data(), static_cast<std::streamsize>(call.body.size()));
        HTTPResponse response;
        std::istream& input = session->receiveResponse(response);
        Reply reply;
        reply.status = response.getStatus();
        reply.revision = parseRevision(response.get("Revision", "0"));
        Poco::StreamCopier::copyToString(input, reply.body);
        if (response.hasContentLength() && static_cast<Poco::Int64>(reply.body.size()) != response.getContentLength64())
            return unavailable("the store's reply was truncated", Verdict::MayHaveRun);
        if (response.getKeepAlive())
            release(std::move(session));
        return reply;
    } catch (const Poco::Exception& exception) {
        return unavailable("the store at " + address_.toString() + ": " + exception.displayText(), verdict);
    }
}

HttpKeyValueStore::HttpKeyValueStore(const std::string& address, Milliseconds deadline)
    : connections_(std::make_unique<Connections>(address))
    , deadline_(deadline)
{
}

HttpKeyValueStore::~HttpKeyValueStore() = default;

Result<std::optional<StoredValue>> HttpKeyValueStore::read(const std::string& key)
{
    BOOST_OUTCOME_TRY(reply, connections_->send({ "GET", "/kv/value/" + encodePath(key), {}, "", deadline_ }));
    if (reply.status == HTTPResponse::HTTP_NOT_FOUND)
        return std::optional<StoredValue> {};
    if (reply.status != HTTPResponse::HTTP_OK)
        return unexpectedStatus(reply);
    return std::optional(StoredValue { std::move(reply.body), reply.revision });
}

Result<std::vector<KeyedValue>> HttpKeyValueStore::list(const std::string& prefix)
{
    BOOST_OUTCOME_TRY(
        reply, connections_->send({ "GET", "/kv/list?prefix=" + encodeQuery(prefix), {}, "", deadline_ }));
    if (reply.status != HTTPResponse::HTTP_OK)
        return unexpectedStatus(reply);
    try {
        std::vector<KeyedValue> values;
        for (const auto& entry : nlohmann::json::parse(reply.body)) {
            const Revision revision(entry.at("revision").get<std::int64_t>());
            values.push_back({ entry.at("key").get<std::string>(),
                { decodeBase64(entry.at("value").get<std::string>()), revision } });
        }
        return values;
    } catch (const nlohmann::json::exception&) {
        return malformedReply("a list");
    } catch (const Poco::Exception&) {
        return malformedReply("a list");
    }
}

Result<Revision> HttpKeyValueStore::compareAndSwap(
    const std::string& key, Revision expected, const std::string& bytes, const std::optional<LeaseId>& lease)
{
    Call call { "PUT", "/kv/value/" + encodePath(key), { { "If-Revision", std::to_string(expected.value()) } }, bytes,
        deadline_ };
    if (lease)
        call.headers.emplace_back("Lease", lease->value());
    BOOST_OUTCOME_TRY(reply, connections_->send(call));
    if (reply.status == HTTPResponse::HTTP_CONFLICT)
        return makeError(ErrorCode::Conflict, key + " is at revision " + std::to_string(reply.revision.value()));
    if (reply.status == HTTPResponse::HTTP_NOT_FOUND)
        return makeError(ErrorCode::NotFound, "the lease for " + key + " has ended");
    if (reply.status != HTTPResponse::HTTP_OK)
        return unexpectedStatus(reply);
    return reply.revision;
}

Status HttpKeyValueStore::remove(const std::string& key, Revision expected)
{
    BOOST_OUTCOME_TRY(reply,
        connections_->send({ "DELETE", "/kv/value/" + encodePath(key),
            { { "If-Revision", std::to_string(expected.value()) } }, "", deadline_ }));
    if (reply.status == HTTPResponse::HTTP_CONFLICT || reply.status == HTTPResponse::HTTP_NOT_FOUND)
        return makeError(ErrorCode::Conflict, key + " is at revision " + std::to_string(reply.revision.value()));
    if (reply.status != HTTPResponse::HTTP_OK && reply.status != HTTPResponse::HTTP_NO_CONTENT)
        return unexpectedStatus(reply);
    return okStatus();
}

Result<LeaseId> HttpKeyValueStore::grantLease(Milliseconds ttl)
{
    const nlohmann::json body { { "ttlMs", ttl.count() } };
    BOOST_OUTCOME_TRY(reply, connections_->send({ "POST", "/kv/leases", {}, body.dump(), deadline_ }));
    if (reply.status != HTTPResponse::HTTP_OK && reply.status != HTTPResponse::HTTP_CREATED)
        return unexpectedStatus(reply);
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (!json.is_object() || !json.contains("lease") || !json["lease"].is_string())
        return malformedReply("a lease request");
    return LeaseId(json["lease"].get<std::string>());
}

namespace {

    Status leaseStatus(const Reply& reply)
    {
        if (reply.status == HTTPResponse::HTTP_NOT_FOUND)
            return makeError(ErrorCode::NotFound, "the lease has ended");
        if (reply.status != HTTPResponse::HTTP_OK && reply.status != HTTPResponse::HTTP_NO_CONTENT)
            return unexpectedStatus(reply);
        return okStatus();
    }

} // namespace

Status HttpKeyValueStore::renewLease(const LeaseId& lease)
{
    BOOST_OUTCOME_TRY(
        reply, connections_->send({ "POST", "/kv/leases/" + encodePath(lease.value()) + "/renew", {}, "", deadline_ }));
    return leaseStatus(reply);
}

Status HttpKeyValueStore::revokeLease(const LeaseId& lease)
{
    BOOST_OUTCOME_TRY(
        reply, connections_->send({ "DELETE", "/kv/leases/" + encodePath(lease.value()), {}, "", deadline_ }));
    return leaseStatus(reply);
}

Result<std::vector<WatchEvent>> HttpKeyValueStore::watch(
    const std::string& prefix, Revision after, Milliseconds timeout)
{
    const std::string target = "/kv/watch?prefix=" + encodeQuery(prefix) + "&after=" + std::to_string(after.value())
        + "&timeoutMs=" + std::to_string(timeout.count());
    BOOST_OUTCOME_TRY(reply, connections_->send({ "GET", target, {}, "", timeout + deadline_ }));
    if (reply.status != HTTPResponse::HTTP_OK)
        return unexpectedStatus(reply);
    try {
        std::vector<WatchEvent> events;
        for (const auto& entry : nlohmann::json::parse(reply.body)) {
            WatchEvent event { entry.at("key").get<std::string>(), Revision(entry.at("revision").get<std::int64_t>()),
                std::nullopt };
            const auto value = entry.find("value");
            if (value != entry.end() && !value->is_null())
                event.bytes = decodeBase64(value->get<std::string>());
            events.push_back(std::move(event));
        }
        return events;
    } catch (const nlohmann::json::exception&) {
        return malformedReply("a watch");
    } catch (const Poco::Exception&) {
        return malformedReply("a watch");
    }
}

} // namespace rosemarylink::state
