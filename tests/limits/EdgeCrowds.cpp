#include "Crowds.h"

#include "PlatformServers.h"
#include "SimCluster.h"

namespace rosemarylink::limits {

namespace {

    // The largest legal body has 262,144 bytes; the body of these clients ends just below.
    constexpr std::size_t largeBodyBytes = 262100;

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

} // namespace

const std::map<std::string, std::vector<ClientScript> (*)()>& edgeCrowds()
{
    static const std::map<std::string, std::vector<ClientScript> (*)()> all { { "announced-bodies", announcedBodies },
        { "unannounced-bodies", unannouncedBodies }, { "pipelined-requests", pipelinedRequests },
        { "whole-bodies", [] { return largeBodies(0); } }, { "unfinished-bodies", [] { return largeBodies(7); } },
        { "open-connections", openConnections } };
    return all;
}

} // namespace rosemarylink::limits
