#pragma once

#include "LinkConnection.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <utility>

namespace rosemarylink::transport::internal {

// What both roles share. Endpoint is a websocketpp client or server; only the .cpp file of the role includes it.
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

    // The connection's handlers keep this object; this object keeps the connection weakly, so that neither leaks.
    void attach(LinkEvents& events)
    {
        const auto connection = connection_.lock();
        const auto self = this->shared_from_this();
        connection->set_message_handler(
            [self, &events](const auto&, const auto& message) { events.linkReceived(self, message->get_payload()); });
        connection->set_ping_handler([self, &events](const auto&, const std::string&) {
            events.linkHeard(self);
            return true;
        });
        connection->set_pong_handler([self, &events](const auto&, const std::string&) { events.linkHeard(self); });
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

// Small messages leave at once instead of waiting for an acknowledgement of the one before.
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
    endpoint.set_max_message_size(options.maximumMessage);
    endpoint.set_open_handshake_timeout(options.openTimeout.count());
    endpoint.set_close_handshake_timeout(options.openTimeout.count());
    endpoint.set_pong_timeout(0); // silence is measured over all traffic by the links
    endpoint.set_user_agent("rosemarylink");
}

} // namespace rosemarylink::transport::internal
