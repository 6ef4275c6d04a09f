#include "Loop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace lab {

namespace {

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int openSocket()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd < 0)
            throw std::runtime_error("cannot open a socket");
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return fd;
    }

    int portOf(int fd, bool peer)
    {
        sockaddr_in address {};
        socklen_t length = sizeof address;
        if (peer)
            ::getpeername(fd, reinterpret_cast<sockaddr*>(&address), &length);
        else
            ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
        return ntohs(address.sin_port);
    }

    constexpr int normalBacklog = 256;

    // Reads what there is; returns false at the end of the connection.
    bool readAll(int fd, std::string& into)
    {
        char chunk[65536];
        while (true) {
            const ssize_t count = ::recv(fd, chunk, sizeof chunk, 0);
            if (count > 0)
                into.append(chunk, static_cast<std::size_t>(count));
            else if (count < 0 && errno == EINTR)
                continue;
            else
                return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        }
    }

    bool writeAll(int fd, std::string& from)
    {
        while (!from.empty()) {
            const ssize_t count = ::send(fd, from.data(), from.size(), MSG_NOSIGNAL);
            if (count > 0)
                from.erase(0, static_cast<std::size_t>(count));
            else if (count < 0 && errno == EINTR)
                continue;
            else
                return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        }
        return true;
    }

} // namespace

Ms now()
{
    timespec time {};
    ::clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<Ms>(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

void Loop::run(Ms until)
{
    while (!stopped_ && now() < until) {
        Ms wait = std::min<Ms>(until - now(), 50);
        if (!timers_.empty())
            wait = std::min(wait, timers_.begin()->first - now());
        std::vector<pollfd> fds;
        for (const auto& [fd, entry] : handlers_)
            fds.push_back({ fd, entry.first, 0 });
        ::poll(fds.data(), fds.size(), static_cast<int>(std::max<Ms>(0, wait)));
        for (const pollfd& ready : fds) {
            const auto position = handlers_.find(ready.fd);
            if (ready.revents == 0 || position == handlers_.end())
                continue;
            const auto handler = position->second.second;
            handler(ready.revents);
        }
        const Ms time = now();
        while (!timers_.empty() && timers_.begin()->first <= time) {
            const auto task = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            task();
        }
    }
}

std::string Message::target() const
{
    const std::size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

int Message::status() const { return std::atoi(start.c_str() + start.find(' ') + 1); }

bool extract(std::string& bytes, Message& message)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    message = {};
    std::size_t line = bytes.find("\r\n");
    message.start = bytes.substr(0, line);
    while (line < end) {
        const std::size_t begin = line + 2;
        line = bytes.find("\r\n", begin);
        const std::string text = bytes.substr(begin, line - begin);
        const std::size_t colon = text.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = text.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        message.headers[name] = text.substr(std::min(text.size(), text.find_first_not_of(' ', colon + 1)));
    }
    const std::size_t length = std::strtoul(message.headers["content-length"].c_str(), nullptr, 10);
    if (bytes.size() < end + 4 + length)
        return false;
    message.body = bytes.substr(end + 4, length);
    bytes.erase(0, end + 4 + length);
    return true;
}

struct Server::Connection {
    int fd = -1;
    std::string in;
    std::string out;
    bool busy = false;
};

Server::Server(Loop& loop, Handler handler)
    : loop_(loop)
    , handler_(std::move(handler))
{
    listen();
}

void Server::listen()
{
    fd_ = openSocket();
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port_);
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
        || ::listen(fd_, normalBacklog) != 0)
        throw std::runtime_error("cannot listen");
    port_ = portOf(fd_, false);
    loop_.watch(fd_, POLLIN, [this](short) { accept(); });
}

void Server::setClosed(bool closed)
{
    if (!closed) {
        listen();
        return;
    }
    loop_.unwatch(fd_);
    ::close(fd_);
    const auto open = connections_;
    for (const auto& connection : open) {
        const linger reset { 1, 0 };
        ::setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        close(connection);
    }
}

void Server::setCutOff(bool cutOff)
{
    if (cutOff == cutOff_)
        return;
    cutOff_ = cutOff;
    if (cutOff) {
        loop_.unwatch(fd_);
        for (const auto& connection : connections_)
            loop_.unwatch(connection->fd);
        ::listen(fd_, 0);
        const sockaddr_in address = loopback(port_);
        for (int i = 0; i < 3; ++i) { // fills the queue of a length of one, so that further opening packets are dropped
            const int filler = openSocket();
            // Not established at once, because the socket does not block.
            static_cast<void>(::connect(filler, reinterpret_cast<const sockaddr*>(&address), sizeof address));
            fillerPorts_.insert(portOf(filler, false));
            fillers_.push_back(filler);
        }
        return;
    }
    for (int filler : fillers_)
        ::close(filler);
    fillers_.clear();
    ::listen(fd_, normalBacklog);
    loop_.watch(fd_, POLLIN, [this](short) { accept(); });
    const auto open = connections_;
    for (const auto& connection : open) {
        arm(connection);
        flush(connection);
        serve(connection);
    }
}

void Server::accept()
{
    while (true) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (fillerPorts_.count(portOf(fd, true)) > 0) {
            ::close(fd);
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto connection = std::make_shared<Connection>();
        connection->fd = fd;
        connections_.insert(connection);
        arm(connection);
    }
}

void Server::arm(const std::shared_ptr<Connection>& connection)
{
    const short events = static_cast<short>(POLLIN | (connection->out.empty() ? 0 : POLLOUT));
    loop_.watch(connection->fd, events, [this, connection](short) {
        const bool open = readAll(connection->fd, connection->in);
        flush(connection);
        if (connection->fd >= 0)
            serve(connection);
        if (!open)
            close(connection);
    });
}

void Server::serve(const std::shared_ptr<Connection>& connection)
{
    if (cutOff_ || connection->busy || connection->fd < 0)
        return;
    Message message;
    if (!extract(connection->in, message))
        return;
    connection->busy = true;
    handler_(message, [this, connection](int status, const std::string& body) {
        connection->busy = false;
        if (connection->fd < 0)
            return;
        connection->out += "HTTP/1.1 " + std::to_string(status)
            + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
        flush(connection);
        if (connection->fd >= 0)
            loop_.after(0, [this, connection] { serve(connection); });
    });
}

void Server::flush(const std::shared_ptr<Connection>& connection)
{
    if (cutOff_ || connection->fd < 0)
        return;
    if (!writeAll(connection->fd, connection->out))
        close(connection);
    else
        arm(connection);
}

void Server::close(const std::shared_ptr<Connection>& connection)
{
    if (connection->fd < 0)
        return;
    loop_.unwatch(connection->fd);
    ::close(connection->fd);
    connection->fd = -1;
    connections_.erase(connection);
}

void request(Loop& loop, int port, const std::string& method, const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body, Ms timeout,
    std::function<void(int status, const std::string& body)> done)
{
    struct Call {
        int fd;
        std::string in;
        std::string out;
        std::function<void(int, const std::string&)> done;
    };
    auto call = std::make_shared<Call>();
    call->fd = openSocket();
    call->done = std::move(done);
    call->out = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        call->out += name + ": " + value + "\r\n";
    if (method != "GET")
        call->out += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    call->out += "\r\n" + body;
    const auto finish = [&loop, call](int status, const std::string& text) {
        if (call->fd < 0)
            return;
        loop.unwatch(call->fd);
        ::close(call->fd);
        call->fd = -1;
        call->done(status, text);
    };
    const sockaddr_in address = loopback(port);
    if (::connect(call->fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
        loop.after(0, [finish] { finish(0, ""); });
        return;
    }
    loop.watch(call->fd, POLLIN | POLLOUT, [&loop, call, finish](short) {
        bool open = writeAll(call->fd, call->out);
        open = readAll(call->fd, call->in) && open;
        Message message;
        if (extract(call->in, message))
            finish(message.status(), message.body);
        else if (!open)
            finish(0, "");
        else if (call->out.empty())
            loop.watch(call->fd, POLLIN, [call, finish](short) {
                const bool stillOpen = readAll(call->fd, call->in);
                Message answer;
                if (extract(call->in, answer))
                    finish(answer.status(), answer.body);
                else if (!stillOpen)
                    finish(0, "");
            });
    });
    loop.after(timeout, [finish] { finish(0, ""); });
}

int freePort()
{
    // Below the ports that the kernel gives to outgoing connections, so that none of them takes the port meanwhile.
    static std::mt19937 random(std::random_device {}());
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int port = 10000 + static_cast<int>(random() % 20000);
        const int fd = openSocket();
        const sockaddr_in address = loopback(port);
        const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (free)
            return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace lab
