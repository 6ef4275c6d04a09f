#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <chrono>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lab {

namespace {

    constexpr int backlog = 128;
    constexpr int cutCheckMs = 20;

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        return address;
    }

    int portOf(int socket)
    {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    int listenOnFreePort()
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(0);
        if (socket < 0 || ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
            || ::listen(socket, backlog) != 0)
            throw std::runtime_error("cannot listen on a loopback port");
        return socket;
    }

    bool sendAll(int socket, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Waits for bytes and appends them. Returns false at the end of the connection or of the time.
    bool receiveSome(int socket, std::string& bytes, int timeoutMs)
    {
        pollfd ready { socket, POLLIN, 0 };
        if (::poll(&ready, 1, timeoutMs) <= 0)
            return false;
        std::array<char, 65536> chunk {};
        const ssize_t count = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            return false;
        bytes.append(chunk.data(), static_cast<std::size_t>(count));
        return true;
    }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return text;
    }

    struct Message {
        std::string firstLine;
        std::map<std::string, std::string> headers;
        std::string body;
    };

    // Takes a complete message from the front of the bytes.
    std::optional<Message> takeMessage(std::string& bytes)
    {
        const std::size_t headEnd = bytes.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return std::nullopt;
        Message message;
        std::size_t lineStart = 0;
        while (lineStart < headEnd) {
            const std::size_t lineEnd = std::min(bytes.find("\r\n", lineStart), headEnd);
            const std::string line = bytes.substr(lineStart, lineEnd - lineStart);
            const std::size_t colon = line.find(':');
            if (lineStart == 0)
                message.firstLine = line;
            else if (colon != std::string::npos)
                message.headers[lowerCase(line.substr(0, colon))] = line.substr(line.find_first_not_of(' ', colon + 1));
            lineStart = lineEnd + 2;
        }
        const auto length = message.headers.find("content-length");
        const std::size_t bodySize = length == message.headers.end() ? 0 : std::stoul(length->second);
        const std::size_t bodyStart = headEnd + 4;
        if (bytes.size() < bodyStart + bodySize)
            return std::nullopt;
        message.body = bytes.substr(bodyStart, bodySize);
        bytes.erase(0, bodyStart + bodySize);
        return message;
    }

    std::string unescape(const std::string& text)
    {
        std::string out;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '%' && index + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
                index += 2;
            } else {
                out += text[index];
            }
        }
        return out;
    }

    Request parseRequest(const Message& message)
    {
        Request request;
        const std::size_t methodEnd = message.firstLine.find(' ');
        const std::size_t targetEnd = message.firstLine.find(' ', methodEnd + 1);
        request.method = message.firstLine.substr(0, methodEnd);
        const std::string target = message.firstLine.substr(methodEnd + 1, targetEnd - methodEnd - 1);
        request.path = target.substr(0, target.find('?'));
        std::string query = target.size() > request.path.size() ? target.substr(request.path.size() + 1) : "";
        while (!query.empty()) {
            const std::string field = query.substr(0, query.find('&'));
            query.erase(0, std::min(query.size(), field.size() + 1));
            const std::size_t equals = field.find('=');
            if (equals != std::string::npos)
                request.query[field.substr(0, equals)] = unescape(field.substr(equals + 1));
        }
        request.headers = message.headers;
        request.body = message.body;
        return request;
    }

} // namespace

HttpServer::HttpServer(Handler handler)
    : handler_(std::move(handler))
{
    const int listener = listenOnFreePort();
    address_ = "127.0.0.1:" + std::to_string(portOf(listener));
    std::thread([this, listener] {
        while (true) {
            const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection >= 0)
                std::thread([this, connection] { serve(connection); }).detach();
        }
    }).detach();
}

// Returns whether the server was cut off.
bool HttpServer::waitForEndOfCut() const
{
    const bool wasCut = cut_;
    while (cut_)
        sleepMs(cutCheckMs);
    return wasCut;
}

void HttpServer::serve(int connection)
{
    constexpr int noDelay = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
    constexpr int forever = -1;
    std::string received;
    while (receiveSome(connection, received, forever)) {
        if (waitForEndOfCut())
            break; // what arrived during the cut is lost
        bool open = true;
        while (open) {
            const auto message = takeMessage(received);
            if (!message)
                break;
            const Response response = handler_(parseRequest(*message));
            if (response.status == 0) {
                while (receiveSome(connection, received, forever)) { // until the caller gives up
                }
                open = false;
                break;
            }
            open = !waitForEndOfCut()
                && sendAll(connection,
                    "HTTP/1.1 " + std::to_string(response.status) + " -\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
        }
        if (!open)
            break;
    }
    ::close(connection);
}

std::optional<Response> send(const std::string& address, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMs)
{
    const std::int64_t endAt = monotonicMs() + timeoutMs;
    const std::size_t colon = address.find(':');
    sockaddr_in peer = loopback(std::stoi(address.substr(colon + 1)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::optional<Response> response;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) == 0) {
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : headers)
            text += name + ": " + value + "\r\n";
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string received;
        if (sendAll(socket, text)) {
            while (!response && monotonicMs() < endAt
                && receiveSome(socket, received, static_cast<int>(endAt - monotonicMs()))) {
                if (const auto message = takeMessage(received))
                    response = Response { std::stoi(message->firstLine.substr(message->firstLine.find(' ') + 1)),
                        message->body };
            }
        }
    }
    ::close(socket);
    return response;
}

std::int64_t monotonicMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t duration) { std::this_thread::sleep_for(std::chrono::milliseconds(duration)); }

int freePort()
{
    const int listener = listenOnFreePort();
    const int port = portOf(listener);
    ::close(listener);
    return port;
}

} // namespace lab
