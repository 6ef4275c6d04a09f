#include "Crowd.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <future>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace rosemarylink::limits {

namespace {

    // Clients take turns after this many bytes, so that their requests arrive interleaved.
    constexpr std::size_t bytesPerTurn = 16384;

    constexpr std::chrono::milliseconds observationInterval { 5 };

} // namespace

struct Crowd::Client {
    ClientScript script;
    int socket = -1;
    std::size_t sent = 0;
    bool lost = false;

    std::size_t total() const { return script.head.size() + script.repeatedBytes; }
    bool sending() const { return !lost && sent < total(); }
};

Crowd::Crowd(const Poco::Net::SocketAddress& address, std::vector<ClientScript> scripts)
    : address_(address)
{
    for (ClientScript& script : scripts) {
        clients_.push_back(std::make_unique<Client>());
        clients_.back()->script = std::move(script);
    }
}

Crowd::~Crowd()
{
    for (const auto& client : clients_) {
        if (client->socket >= 0)
            ::close(client->socket);
    }
}

void Crowd::connectAll()
{
    for (const auto& client : clients_) {
        client->socket = ::socket(address_.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int outcome = ::connect(client->socket, address_.addr(), address_.length());
        client->lost = client->socket < 0 || (outcome < 0 && errno != EINPROGRESS);
    }
}

void Crowd::sendSome(Client& client)
{
    const ClientScript& script = client.script;
    std::string_view bytes;
    if (client.sent < script.head.size()) {
        bytes = std::string_view(script.head).substr(client.sent);
    } else {
        const std::size_t position = (client.sent - script.head.size()) % script.repeated.size();
        bytes = std::string_view(script.repeated).substr(position, client.total() - client.sent);
    }
    const ssize_t count = ::send(client.socket, bytes.data(), std::min(bytes.size(), bytesPerTurn), MSG_NOSIGNAL);
    if (count > 0)
        client.sent += static_cast<std::size_t>(count);
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        client.lost = true;
}

// Sends from each thread-th client, starting with the first-th.
void Crowd::sendFrom(std::size_t first, std::size_t threads, int stalledMs)
{
    while (true) {
        std::vector<pollfd> waiting;
        std::vector<Client*> senders;
        for (std::size_t index = first; index < clients_.size(); index += threads) {
            Client& client = *clients_[index];
            if (!client.sending())
                continue;
            waiting.push_back({ client.socket, POLLOUT, 0 });
            senders.push_back(&client);
        }
        if (waiting.empty() || ::poll(waiting.data(), waiting.size(), stalledMs) <= 0)
            return;
        for (std::size_t index = 0; index < senders.size(); ++index) {
            if (waiting[index].revents != 0)
                sendSome(*senders[index]);
        }
    }
}

void Crowd::run(std::size_t threads, int stalledMs, const std::function<void()>& observe)
{
    connectAll();
    std::vector<std::future<void>> sending;
    for (std::size_t first = 0; first < threads; ++first)
        sending.push_back(
            std::async(std::launch::async, [this, first, threads, stalledMs] { sendFrom(first, threads, stalledMs); }));
    for (std::future<void>& part : sending) {
        while (part.wait_for(observationInterval) != std::future_status::ready)
            observe();
        part.get();
    }
    observe();
}

void Crowd::trickle()
{
    for (const auto& client : clients_) {
        if (!client->lost && ::send(client->socket, "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
            client->lost = errno != EAGAIN && errno != EWOULDBLOCK;
    }
}

std::size_t Crowd::bytesSent() const
{
    std::size_t sum = 0;
    for (const auto& client : clients_)
        sum += client->sent;
    return sum;
}

std::size_t Crowd::closedByServer() const
{
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(), [](const auto& client) { return client->lost; }));
}

} // namespace rosemarylink::limits
