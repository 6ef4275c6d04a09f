#include "Submitters.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/NumberFormatter.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <future>

namespace rosemarylink::limits {

namespace {

    constexpr std::chrono::milliseconds observationInterval { 5 };

    // Far above the caller's deadline of 3 s.
    const Poco::Timespan responseTimeout(10, 0);

} // namespace

Submitters::Submitters(const Poco::Net::SocketAddress& address, const SubmissionLoad& load)
    : address_(address)
    , load_(load)
{
}

void Submitters::count(int status)
{
    if (status >= 200 && status < 300)
        ++accepted_;
    else if (status == 429 || status == 503)
        ++refused_;
    else
        ++otherwise_;
}

void Submitters::submitAll()
{
    Poco::Net::HTTPClientSession session(address_);
    session.setKeepAlive(true);
    session.setTimeout(responseTimeout);
    while (!stopped_) {
        const std::size_t number = next_++;
        if (number >= load_.submissions)
            return;
        try {
            Poco::Net::HTTPRequest request("POST",
                "/batch/" + Poco::NumberFormatter::formatHex(Poco::UInt64(number + 1), 16),
                Poco::Net::HTTPMessage::HTTP_1_1);
            request.setHost("host");
            request.set("Authorization", "Token key");
            request.setContentLength(static_cast<std::streamsize>(load_.body.size()));
            session.sendRequest(request) << load_.body;
            Poco::Net::HTTPResponse response;
            std::istream& content = session.receiveResponse(response);
            Poco::NullOutputStream ignored;
            Poco::StreamCopier::copyStream(content, ignored);
            count(response.getStatus());
        } catch (const Poco::Exception&) {
            count(0);
            session.reset();
        }
    }
}

void Submitters::run(const std::function<void()>& observe, const std::function<bool()>& running)
{
    std::vector<std::future<void>> connections;
    for (std::size_t number = 0; number < load_.connections; ++number)
        connections.push_back(std::async(std::launch::async, [this] { submitAll(); }));
    for (std::future<void>& connection : connections) {
        while (connection.wait_for(observationInterval) != std::future_status::ready) {
            observe();
            if (!running())
                stopped_ = true;
        }
        connection.get();
    }
    observe();
}

} // namespace rosemarylink::limits
