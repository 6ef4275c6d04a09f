#pragma once

#include "LinkConnection.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <utility>

namespace rosemarylink::transport::internal {

// The connection code common to clients and servers. Endpoint is a websocketpp client or server, whose header is
// included only by LinkClient.cpp or LinkServer.cpp.
template <typename Endpoint>
class WebSocketConnection final : public LinkConnection,
                                  public std::enable_shared_from_this<WebSocketConnection<Endpoint>> {
public:
    using Connection = typename Endpoint::connection_type;

    WebSocketConnection(const std::shared_ptr<Connection>& connection, InstanceId peer)
        : connection_(connection)
        , peer_(std::move(peer))
    {
    }

    // The connection's handlers own this object, which has only a weak pointer to the connection, so that there is no
    // reference cycle.
    void attach(LinkEvents& events)
    {
        const auto connection = connection_.lock();
        const auto self = this->shared_from_this();
        connection->set_message_handler(
            [self, &events](const auto&, const auto& message) { events.linkReceived(self, message->get_payload()); });
        connection->set_ping_handler([self, &events](const auto&, const std::string&) {
            events.linkActive(self);
            return true;
        });
        connection->set_pong_handler([self, &events](const auto&, const std::string&) { events.linkActive(self); });
        connection->set_close_handler([self, &events](const auto&) { events.linkClosed(self, "closed"); });
        connection->set_fail_handler([self, &events](const auto&) { events.linkClosed(self, self->failure()); });
    }

    const InstanceId& peer() const override { return peer_; }

    bool send(const std::string& bytes) override
    {
        const auto connection = connection_.lock();
        return connection && !connection->send(bytes.data(), bytes.size());
    }

    bool ping() override
    {
        const auto connection = connection_.lock();
        if (!connection)
            return false;
        auto error = connection->get_ec();
        error.clear();
        connection->ping("", error);
        return !error;
    }

    std::size_t unsentBytes() const override
    {
        const auto connection = connection_.lock();
        return connection ? connection->get_buffered_amount() : 0;
    }

    void drop() override
    {
        const auto connection = connection_.lock();
        if (!connection)
            return;
        boost::system::error_code ignored;
        connection->get_raw_socket().close(ignored);
    }

private:
    std::string failure() const
    {
        const auto connection = connection_.lock();
        return connection ? connection->get_ec().message() : "failed";
    }

    std::weak_ptr<Connection> connection_;
    InstanceId peer_;
};

// Disables Nagle's algorithm, so that a small message is not delayed until the previous one is acknowledged.
template <typename Socket> void setSocketOptions(Socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

template <typename Endpoint>
void prepareEndpoint(Endpoint& endpoint, boost::asio::io_context& context, const EndpointOptions& options)
{
    endpoint.clear_access_channels(0xffffffff);
    endpoint.clear_error_channels(0xffffffff);
    endpoint.init_asio(&context);
    endpoint.set_max_message_size(options.maximumMessageSize);
    endpoint.set_open_handshake_timeout(options.openTimeout.count());
    endpoint.set_close_handshake_timeout(options.openTimeout.count());
    endpoint.set_pong_timeout(0); // LinkTable detects silent connections from all traffic
    endpoint.set_user_agent("rosemarylink");
}

} // namespace rosemarylink::transport::internal
