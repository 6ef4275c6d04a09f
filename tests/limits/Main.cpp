// Runs one process of rosemarylink-edge against a crowd of clients outside the limits. Guards against a process that
// clients drive out of memory or descriptors, so that it terminates, or that serves nobody afterwards. Times and the
// share of served requests are not checked.

#include "Crowd.h"
#include "EdgeInstance.h"
#include "Platform.h"
#include "rosemarylink/base/Log.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <boost/program_options.hpp>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace rosemarylink::limits {

namespace {

    // Announced to the process and checked as bounds. They are far below those of the smallest machine (160 MB, 4,100
    // descriptors), so that a small crowd suffices.
    constexpr soak::MachineLimits machine { 64, 600 };

    // The largest legal body has 262,144 bytes; the body of these clients ends just below.
    constexpr std::size_t largeBodyBytes = 262100;

    // Clients of unannounced bodies send on a thread each, since only a client that is faster than the process can make
    // it read on and on.
    constexpr std::size_t fastSenders = 24;

    constexpr int stalledMs = 2000;
    constexpr Milliseconds responseTimeout { 60000 };
    constexpr Milliseconds retryInterval { 100 };

    const std::string headStart = "POST /batch/";
    const std::string headEnd = " HTTP/1.1\r\nHost: host\r\n";

    std::string headOf(std::size_t client, const std::string& fields)
    {
        return headStart + "crowd" + std::to_string(client) + headEnd + fields + "\r\n";
    }

    // 24 clients; half of them announce a body over the limit, half one that is far over any limit.
    std::vector<ClientScript> announcedBodies()
    {
        constexpr std::size_t bytes = 8000000;
        std::vector<ClientScript> scripts;
        for (std::size_t client = 0; client < 24; ++client) {
            const std::size_t announced = client % 2 == 0 ? bytes : 100 * bytes;
            scripts.push_back({ headOf(client, "Content-Length: " + std::to_string(announced) + "\r\n"),
                std::string(65536, 'x'), bytes });
        }
        return scripts;
    }

    // 24 clients, of four kinds: chunked, without a length, a head without an end, and a single line without an end.
    std::vector<ClientScript> unannouncedBodies()
    {
        constexpr std::size_t bytes = 64000000;
        const std::string chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
        std::vector<ClientScript> scripts;
        for (std::size_t client = 0; client < 24; ++client) {
            switch (client % 4) {
            case 0:
                scripts.push_back({ headOf(client, "Transfer-Encoding: chunked\r\n"), chunk, bytes });
                break;
            case 1:
                scripts.push_back({ headOf(client, ""), std::string(65536, 'x'), bytes });
                break;
            case 2:
                scripts.push_back({ headStart + "crowd" + headEnd, "Field: " + std::string(100, 'x') + "\r\n", bytes });
                break;
            default:
                scripts.push_back({ "", std::string(65536, 'x'), bytes });
            }
        }
        return scripts;
    }

    // 48 clients with 4 MB of requests each, without a Host header, whose responses are not read.
    std::vector<ClientScript> pipelinedRequests()
    {
        const std::string get = "GET /batch/crowd HTTP/1.1\r\n\r\n";
        const std::string post = "POST /batch/crowd HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
        std::vector<ClientScript> scripts;
        for (std::size_t client = 0; client < 48; ++client)
            scripts.push_back({ "", client % 2 == 0 ? get : post, 4000000 });
        return scripts;
    }

    // A valid submission of legal size. The padding of one kind is a text, that of the other many small JSON values,
    // which need many times their size when parsed. No key is sent, since these clients have none.
    std::string largeBody(bool manyValues)
    {
        std::string body = soak::platformJob(jobs::oneStep(1, 1, Milliseconds(200), false));
        body.pop_back(); // the closing brace
        body += manyValues ? ",\"Padding\":[0" : ",\"Padding\":\"";
        while (body.size() < largeBodyBytes - 4)
            body += manyValues ? ",{}" : "xxx";
        return body + (manyValues ? "]}" : "\"}");
    }

    // 400 clients with a large body each, which arrive interleaved. Of each 8 clients `unfinished` stop 16 bytes before
    // the end.
    std::vector<ClientScript> largeBodies(std::size_t unfinished)
    {
        std::vector<ClientScript> scripts;
        for (std::size_t client = 0; client < 400; ++client) {
            const std::string body = largeBody(client % 2 == 0);
            const std::size_t missing = client % 8 < unfinished ? 16 : 0;
            scripts.push_back({ headOf(client, "Content-Length: " + std::to_string(body.size()) + "\r\n"), body,
                body.size() - missing });
        }
        return scripts;
    }

    // 1,500 clients that connect; every second one sends the start of a request.
    std::vector<ClientScript> openConnections()
    {
        std::vector<ClientScript> scripts;
        for (std::size_t client = 0; client < 1500; ++client)
            scripts.push_back({ client % 2 == 0 ? headStart : "", "", 0 });
        return scripts;
    }

    const std::map<std::string, std::function<std::vector<ClientScript>()>>& crowds()
    {
        static const std::map<std::string, std::function<std::vector<ClientScript>()>> all {
            { "announced-bodies", announcedBodies }, { "unannounced-bodies", unannouncedBodies },
            { "pipelined-requests", pipelinedRequests }, { "whole-bodies", [] { return largeBodies(0); } },
            { "unfinished-bodies", [] { return largeBodies(7); } }, { "open-connections", openConnections }
        };
        return all;
    }

    // Returns the status of the response, or 0 if there was none.
    int send(const std::string& address, const std::string& method, const std::string& target, const std::string& body)
    {
        try {
            Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
            session.setTimeout(Poco::Timespan(3, 0));
            Poco::Net::HTTPRequest request(method, target, Poco::Net::HTTPMessage::HTTP_1_1);
            request.setHost("host");
            request.set("Authorization", "Token key");
            request.setContentLength(static_cast<std::streamsize>(body.size()));
            session.sendRequest(request) << body;
            Poco::Net::HTTPResponse response;
            std::istream& content = session.receiveResponse(response);
            Poco::NullOutputStream ignored;
            Poco::StreamCopier::copyStream(content, ignored);
            return response.getStatus();
        } catch (const Poco::Exception&) {
            return 0;
        }
    }

    // The resources that a process uses, as the kernel reports them.
    struct Usage {
        long residentPeakKb = 0;
        long descriptorPeak = 0;

        void observe(pid_t process)
        {
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
    };

    // Repeats the request until its response has a status of 200 to 299; returns false if none comes in time.
    bool succeeds(soak::EdgeInstance& edge, const std::function<int()>& request)
    {
        const SystemClock clock;
        const Milliseconds deadline = clock.monotonic() + responseTimeout;
        while (clock.monotonic() < deadline) {
            const int status = request();
            if (status >= 200 && status < 300)
                return true;
            if (edge.hasExitedUnexpectedly() || !edge.running())
                return false;
            std::this_thread::sleep_for(retryInterval); // between attempts; nothing announces that a request would pass
        }
        return false;
    }

    int run(const std::string& binary, const std::string& directory, const std::string& name)
    {
        Platform platform;
        soak::EdgeInstance edge(binary, directory, 0, platform.storeAddress(), Platform::workerLease);
        edge.setMachineLimits(machine);
        edge.start();
        if (!succeeds(edge, [&edge] { return send(edge.readinessAddress(), "GET", "/", ""); })) {
            std::cout << name << ": the process did not become ready\n";
            return 1;
        }
        const pid_t process = edge.processId();
        Usage before;
        before.observe(process);
        Usage usage;
        Crowd crowd(Poco::Net::SocketAddress(edge.callerAddress()), crowds().at(name)());
        crowd.run(
            name == "unannounced-bodies" ? fastSenders : 1, stalledMs, [&usage, process] { usage.observe(process); });
        const std::string body = soak::platformJob(jobs::oneStep(1, 1, Milliseconds(200), false));
        const bool served
            = succeeds(edge, [&edge, &body] { return send(edge.callerAddress(), "POST", "/batch/0123abcd", body); });
        usage.observe(process);
        const bool ended = edge.hasExitedUnexpectedly() || !edge.running();
        const long residentBoundKb = machine.memoryMb * 1024L;
        std::cout << name << ": clients=" << crowd.clients() << " sentBytes=" << crowd.bytesSent()
                  << " closed=" << crowd.closedByServer() << " residentBeforeKb=" << before.residentPeakKb
                  << " residentPeakKb=" << usage.residentPeakKb << " residentBoundKb=" << residentBoundKb
                  << " descriptorPeak=" << usage.descriptorPeak << " descriptorBound=" << machine.fileDescriptors
                  << " ended=" << ended << " served=" << served << "\n";
        const bool held = !ended && served && usage.residentPeakKb <= residentBoundKb
            && usage.descriptorPeak <= machine.fileDescriptors;
        return held ? 0 : 1;
    }

} // namespace

} // namespace rosemarylink::limits

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::string binary = "build/rosemarylink-edge";
    std::string crowd;
    options::options_description description("rosemarylink-limits: one process against clients outside the limits");
    description.add_options()("edge", options::value(&binary)->default_value(binary), "the program under test")(
        "crowd", options::value(&crowd)->required(), "name of the crowd of clients");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        options::notify(arguments);
    } catch (const options::error& problem) {
        std::cerr << problem.what() << "\n" << description;
        return 2;
    }
    if (rosemarylink::limits::crowds().count(crowd) == 0) {
        std::cerr << "no such crowd: " << crowd << "\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    rosemarylink::startLogging(argv[0]);
    const std::filesystem::path directory
        = std::filesystem::temp_directory_path() / ("rosemarylink-limits-" + std::to_string(::getpid()));
    std::filesystem::create_directories(directory);
    const int result = rosemarylink::limits::run(binary, directory, crowd);
    if (result == 0)
        std::filesystem::remove_all(directory);
    else
        std::cout << "settings and logs are in " << directory << "\n";
    return result;
}
