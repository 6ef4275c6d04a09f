#include "rosemarylink/transport/HttpClient.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

#include <mutex>
#include <vector>

namespace rosemarylink::transport {

namespace {

    using Session = Poco::Net::HTTPClientSession;

    // A readable idle connection was closed by the server or holds an unread reply; neither can be reused.
    bool isStale(Session& session)
    {
        return !session.connected() || session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }

    // The size in bytes of the first line and the headers on the wire.
    template <typename Message> std::size_t headSize(const Message& message, std::size_t firstLine)
    {
        constexpr std::size_t separators = 4; // ": " and the line end
        std::size_t size = firstLine + 2;
        for (const auto& [name, value] : message)
            size += name.size() + value.size() + separators;
        return size;
    }

} // namespace

struct HttpClient::Pool {
    std::string address;
    std::string host;
    Poco::UInt16 port = 0;
    std::size_t maximumIdle = 0;
    std::mutex mutex;
    std::vector<std::unique_ptr<Session>> idle;

    std::unique_ptr<Session> acquire()
    {
        {
            const std::lock_guard lock(mutex);
            while (!idle.empty()) {
                std::unique_ptr<Session> session = std::move(idle.back());
                idle.pop_back();
                if (!isStale(*session))
                    return session;
            }
        }
        auto session = std::make_unique<Session>(host, port);
        session->setKeepAlive(true);
        return session;
    }

    void release(std::unique_ptr<Session> session)
    {
        const std::lock_guard lock(mutex);
        if (idle.size() < maximumIdle)
            idle.push_back(std::move(session));
    }
};

HttpClient::HttpClient(std::string address, std::size_t maximumIdle)
    : pool_(std::make_unique<Pool>())
{
    const auto colon = address.rfind(':');
    pool_->host = address.substr(0, colon);
    if (colon != std::string::npos)
        pool_->port = static_cast<Poco::UInt16>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
    pool_->address = std::move(address);
    pool_->maximumIdle = maximumIdle;
}

HttpClient::~HttpClient() = default;

Result<HttpReply> HttpClient::send(const std::string& method, const std::string& target, const Headers& headers,
    const std::string& body, Milliseconds timeout)
{
    Verdict verdict = Verdict::NotRun;
    try {
        std::unique_ptr<Session> session = pool_->acquire();
        session->setTimeout(Poco::Timespan(timeout.count() * 1000));
        Poco::Net::HTTPRequest request(method, target, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto& [name, value] : headers)
            request.set(name, value);
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        if (!session->connected()) {
            // Connects explicitly, so that a failure before any byte of the request was sent is reported as NotRun.
            session->socket().connect(
                Poco::Net::SocketAddress(pool_->host, pool_->port), Poco::Timespan(timeout.count() * 1000));
            session->socket().setNoDelay(true);
        }
        // POCO applies the session's time-out only to connections that the session itself opens.
        session->socket().setSendTimeout(Poco::Timespan(timeout.count() * 1000));
        session->socket().setReceiveTimeout(Poco::Timespan(timeout.count() * 1000));
        verdict = Verdict::MayHaveRun;
        session->sendRequest(request).write(body.data(), static_cast<std::streamsize>(body.size()));
        const std::size_t requestLine = method.size() + target.size() + sizeof("  HTTP/1.1");
        bytesTransferred_ += static_cast<std::int64_t>(headSize(request, requestLine) + body.size());
        Poco::Net::HTTPResponse response;
        std::istream& input = session->receiveResponse(response);
        HttpReply reply;
        reply.status = response.getStatus();
        for (const auto& [name, value] : response)
            reply.headers[name] = value;
        Poco::StreamCopier::copyToString(input, reply.body);
        const std::size_t statusLine = response.getReason().size() + sizeof("HTTP/1.1 200 ");
        bytesTransferred_ += static_cast<std::int64_t>(headSize(response, statusLine) + reply.body.size());
        const bool truncated = response.hasContentLength() && method != "HEAD"
            && static_cast<Poco::Int64>(reply.body.size()) != response.getContentLength64();
        if (truncated)
            return unavailable(pool_->address + ": the reply was truncated", Verdict::MayHaveRun);
        if (response.getKeepAlive())
            pool_->release(std::move(session));
        return reply;
    } catch (const Poco::Exception& exception) {
        return unavailable(pool_->address + ": " + exception.displayText(), verdict);
    }
}

} // namespace rosemarylink::transport
