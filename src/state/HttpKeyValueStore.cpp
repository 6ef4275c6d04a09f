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

    // Slashes of keys are part of the path.
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

    // Any status that the interface does not name. The store may have worked on the request before it failed.
    Error unexpected(const Reply& reply)
    {
        return unavailable("the store answered with status " + std::to_string(reply.status), Verdict::MayHaveRun);
    }

    Error malformed(const std::string& what)
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
    std::unique_ptr<Session> take();
    void giveBack(std::unique_ptr<Session>);

    Poco::Net::SocketAddress address_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<Session>> idle_;
};

std::unique_ptr<Session> HttpKeyValueStore::Connections::take()
{
    const std::lock_guard lock(mutex_);
    while (!idle_.empty()) {
        std::unique_ptr<Session> session = std::move(idle_.back());
        idle_.pop_back();
        // An idle connection with something to read was closed by the store, or is out of step.
        if (session->connected() && !session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return session;
    }
    auto session = std::make_unique<Session>(address_.host().toString(), address_.port());
    session->setKeepAlive(true);
    return session;
}

void HttpKeyValueStore::Connections::giveBack(std::unique_ptr<Session> session)
{
    const std::lock_guard lock(mutex_);
    if (idle_.size() < maximumIdle)
        idle_.push_back(std::move(session));
}

Result<Reply> HttpKeyValueStore::Connections::send(const Call& call)
{
    Verdict verdict = Verdict::NotRun;
    try {
        std::unique_ptr<Session> session = take();
        const Poco::Timespan timeout(call.timeout.count() * 1000);
        session->setTimeout(timeout);
        HTTPRequest request(call.method, call.target, HTTPRequest::HTTP_1_1);
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
        if (!session->connected()) {
            // Connecting first separates failures in which nothing of the request has left.
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
            return unavailable("the store's reply was cut short", Verdict::MayHaveRun);
        if (response.getKeepAlive())
            giveBack(std::move(session));
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
        return unexpected(reply);
    return std::optional(StoredValue { std::move(reply.body), reply.revision });
}

Result<std::vector<KeyedValue>> HttpKeyValueStore::list(const std::string& prefix)
{
    BOOST_OUTCOME_TRY(
        reply, connections_->send({ "GET", "/kv/list?prefix=" + encodeQuery(prefix), {}, "", deadline_ }));
    if (reply.status != HTTPResponse::HTTP_OK)
        return unexpected(reply);
    try {
        std::vector<KeyedValue> values;
        for (const auto& entry : nlohmann::json::parse(reply.body)) {
            const Revision revision(entry.at("revision").get<std::int64_t>());
            values.push_back({ entry.at("key").get<std::string>(),
                { decodeBase64(entry.at("value").get<std::string>()), revision } });
        }
        return values;
    } catch (const nlohmann::json::exception&) {
        return malformed("a list");
    } catch (const Poco::Exception&) {
        return malformed("a list");
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
        return unexpected(reply);
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
        return unexpected(reply);
    return okStatus();
}

Result<LeaseId> HttpKeyValueStore::grantLease(Milliseconds ttl)
{
    const nlohmann::json body { { "ttlMs", ttl.count() } };
    BOOST_OUTCOME_TRY(reply, connections_->send({ "POST", "/kv/leases", {}, body.dump(), deadline_ }));
    if (reply.status != HTTPResponse::HTTP_OK && reply.status != HTTPResponse::HTTP_CREATED)
        return unexpected(reply);
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (!json.is_object() || !json.contains("lease") || !json["lease"].is_string())
        return malformed("a lease request");
    return LeaseId(json["lease"].get<std::string>());
}

namespace {

    Status leaseStatus(const Reply& reply)
    {
        if (reply.status == HTTPResponse::HTTP_NOT_FOUND)
            return makeError(ErrorCode::NotFound, "the lease has ended");
        if (reply.status != HTTPResponse::HTTP_OK && reply.status != HTTPResponse::HTTP_NO_CONTENT)
            return unexpected(reply);
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
        return unexpected(reply);
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
        return malformed("a watch");
    } catch (const Poco::Exception&) {
        return malformed("a watch");
    }
}

} // namespace rosemarylink::state
