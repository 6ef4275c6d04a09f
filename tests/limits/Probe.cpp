#include "Probe.h"

#include "rosemarylink/base/Clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <thread>

namespace rosemarylink::limits {

namespace {

    constexpr Milliseconds responseTimeout { 60000 };
    constexpr Milliseconds retryInterval { 100 };

} // namespace

ProbeResponse send(const ProbeRequest& probe)
{
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(probe.address) };
        session.setTimeout(Poco::Timespan(3, 0));
        Poco::Net::HTTPRequest request(probe.method, probe.target, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setHost("host");
        request.set("Authorization", "Token " + probe.key);
        request.setContentLength(static_cast<std::streamsize>(probe.body.size()));
        session.sendRequest(request) << probe.body;
        Poco::Net::HTTPResponse response;
        std::istream& content = session.receiveResponse(response);
        ProbeResponse result;
        Poco::StreamCopier::copyToString(content, result.body);
        result.status = response.getStatus();
        return result;
    } catch (const Poco::Exception&) {
        return {};
    }
}

namespace {

    // The address as /proc/net/tcp shows it.
    std::string kernelAddress(const std::string& address)
    {
        const Poco::Net::SocketAddress parsed(address);
        const auto ip = *static_cast<const std::uint32_t*>(parsed.host().addr());
        std::ostringstream text;
        text << std::hex << std::uppercase << std::setfill('0') << std::setw(8) << ip << ":" << std::setw(4)
             << parsed.port();
        return text.str();
    }

    long queuedKb(const std::string& address)
    {
        const std::string local = kernelAddress(address);
        std::ifstream table("/proc/net/tcp");
        std::string line;
        unsigned long bytes = 0;
        while (std::getline(table, line)) {
            std::istringstream fields(line);
            std::string number;
            std::string from;
            std::string to;
            std::string state;
            std::string queues;
            fields >> number >> from >> to >> state >> queues;
            // The queue of a listening socket counts connections.
            if (from == local && state != "0A")
                bytes += std::stoul(queues.substr(0, 8), nullptr, 16) + std::stoul(queues.substr(9), nullptr, 16);
        }
        return static_cast<long>(bytes / 1024);
    }

} // namespace

void Usage::observe(pid_t process, const std::string& address)
{
    queuedPeakKb = std::max(queuedPeakKb, queuedKb(address));
    const std::string directory = "/proc/" + std::to_string(process);
    std::ifstream status(directory + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.compare(0, 6, "VmHWM:") == 0)
            residentPeakKb = std::max(residentPeakKb, std::stol(line.substr(6)));
    }
    std::error_code ended; // set when the process has ended, which is reported by another check
    long count = 0;
    for (auto entry = std::filesystem::directory_iterator(directory + "/fd", ended);
         !ended && entry != std::filesystem::directory_iterator(); entry.increment(ended))
        ++count;
    descriptorPeak = std::max(descriptorPeak, count);
}

bool succeeds(const std::function<bool()>& attempt, const std::function<bool()>& running)
{
    const SystemClock clock;
    const Milliseconds deadline = clock.monotonic() + responseTimeout;
    while (clock.monotonic() < deadline) {
        if (attempt())
            return true;
        if (!running())
            return false;
        std::this_thread::sleep_for(retryInterval); // between attempts; nothing announces that a request would pass
    }
    return false;
}

bool isServed(const ProbeRequest& request)
{
    const int status = send(request).status;
    return status >= 200 && status < 300;
}

} // namespace rosemarylink::limits
