#include "Crowds.h"

namespace rosemarylink::limits {

namespace {

    // The longest body that the gateway takes by default.
    constexpr std::size_t longestBody = 8388608;

    // The longest message on a link.
    constexpr std::size_t longestMessage = 4194304;

    const std::string requestLine = "POST /v1/requests/quotes HTTP/1.1\r\nHost: host\r\n";

    std::vector<ClientScript> repeat(std::size_t clients, const ClientScript& script)
    {
        return std::vector<ClientScript>(clients, script);
    }

    std::vector<ClientScript> unfinishedBodies()
    {
        return repeat(40,
            { requestLine + "Content-Length: " + std::to_string(longestBody) + "\r\n\r\n", std::string(65536, 'x'),
                longestBody - 16 });
    }

    std::vector<ClientScript> chunkedBodies()
    {
        return repeat(40,
            { requestLine + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + std::string(65536, 'x') + "\r\n",
                64000000 });
    }

    // More clients than the gateway has connections; the test sends on, a byte a second.
    std::vector<ClientScript> slowBodies()
    {
        return repeat(80, { requestLine + "Content-Length: 100000\r\n\r\n", "", 0 });
    }

    // One binary message each, which stops short of its end. The mask of the frame is 0.
    std::vector<ClientScript> unfinishedMessages()
    {
        std::string frame = "\x82";
        frame += '\xff';
        for (int shift = 56; shift >= 0; shift -= 8)
            frame += static_cast<char>((longestMessage >> shift) & 0xff);
        frame += std::string(4, '\0');
        std::vector<ClientScript> scripts;
        for (std::size_t client = 0; client < 160; ++client) {
            scripts.push_back({ "GET /links HTTP/1.1\r\nHost: host\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
                                "Rosemarylink-Instance: crowd-"
                    + std::to_string(client) + "\r\n\r\n" + frame,
                std::string(65536, 'x'), longestMessage - 16 });
        }
        return scripts;
    }

} // namespace

const std::map<std::string, std::vector<ClientScript> (*)()>& gatewayCrowds()
{
    static const std::map<std::string, std::vector<ClientScript> (*)()> all { { "gateway-unfinished-bodies",
                                                                                  unfinishedBodies },
        { "gateway-chunked-bodies", chunkedBodies }, { "gateway-slow-bodies", slowBodies } };
    return all;
}

const std::map<std::string, std::vector<ClientScript> (*)()>& linkCrowds()
{
    static const std::map<std::string, std::vector<ClientScript> (*)()> all { { "link-unfinished-messages",
        unfinishedMessages } };
    return all;
}

} // namespace rosemarylink::limits
