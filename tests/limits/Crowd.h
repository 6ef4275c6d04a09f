#pragma once

#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::limits {

// What one client sends on one connection.
struct ClientScript {
    std::string head; // sent once
    std::string repeated; // sent again and again after the head
    std::size_t repeatedBytes = 0; // how many bytes of the repetitions are sent
};

// Clients that send at the same time and never read a response. Their connections stay open until the crowd is
// destroyed.
class Crowd {
public:
    Crowd(const Poco::Net::SocketAddress&, std::vector<ClientScript>);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    // Connects all clients and sends, on as many threads, until each client has sent all its bytes or lost its
    // connection, or until no client of a thread can send for `stalledMs` milliseconds. Calls `observe` now and then on
    // the calling thread.
    void run(std::size_t threads, int stalledMs, const std::function<void()>& observe);

    // Sends one more byte on each open connection.
    void trickle();

    std::size_t clients() const { return clients_.size(); }
    std::size_t bytesSent() const;
    std::size_t closedByServer() const;

private:
    struct Client;

    void connectAll();
    void sendFrom(std::size_t first, std::size_t threads, int stalledMs);
    static void sendSome(Client&);

    Poco::Net::SocketAddress address_;
    std::vector<std::unique_ptr<Client>> clients_;
};

} // namespace rosemarylink::limits
