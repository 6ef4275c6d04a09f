#include "LinkConnection.h"
#include "WebSocketConnection.h"

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

namespace rosemarylink::transport::internal {

using Server = websocketpp::server<websocketpp::config::asio>;

struct LinkServer::State {
    State(const EndpointOptions& endpointOptions, LinkEvents& linkEvents)
        : options(endpointOptions)
        , events(linkEvents)
    {
    }

    Server endpoint;
    EndpointOptions options;
    LinkEvents& events;

    bool validate(const websocketpp::connection_hdl& handle);
};

bool LinkServer::State::validate(const websocketpp::connection_hdl& handle)
{
    const Server::connection_ptr connection = endpoint.get_con_from_hdl(handle);
    const InstanceId peer(connection->get_request_header(instanceHeader));
    if (peer.empty() || peer == options.self || connection->get_resource() != "/links") {
        connection->set_status(websocketpp::http::status_code::forbidden);
        return false;
    }
    connection->append_header(instanceHeader, options.self.value());
    auto link = std::make_shared<WebSocketConnection<Server>>(connection, peer);
    link->attach(events);
    connection->set_open_handler([this, link](const websocketpp::connection_hdl& opened) {
        setSocketOptions(endpoint.get_con_from_hdl(opened)->get_raw_socket());
        events.linkOpened(link);
    });
    return true;
}

LinkServer::LinkServer(boost::asio::io_context& context, const EndpointOptions& options, LinkEvents& events)
    : state_(std::make_unique<State>(options, events))
{
    prepareEndpoint(state_->endpoint, context, options);
    state_->endpoint.set_reuse_addr(true);
    state_->endpoint.set_validate_handler(
        [state = state_.get()](const websocketpp::connection_hdl& handle) { return state->validate(handle); });
}

LinkServer::~LinkServer() = default;

Status LinkServer::listen(const std::string& host, int port)
{
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(host, addressError);
    if (addressError)
        return invalidArgument("the links' address " + host + " is not an IP address");
    websocketpp::lib::error_code error;
    state_->endpoint.listen(boost::asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(port)), error);
    if (!error)
        state_->endpoint.start_accept(error);
    if (error)
        return makeError(
            ErrorCode::Unavailable, "cannot listen on " + host + ":" + std::to_string(port) + ": " + error.message());
    return okStatus();
}

int LinkServer::port() const
{
    boost::system::error_code error;
    const auto endpoint = state_->endpoint.get_local_endpoint(error);
    return error ? 0 : endpoint.port();
}

void LinkServer::stopListening()
{
    websocketpp::lib::error_code ignored;
    state_->endpoint.stop_listening(ignored);
}

} // namespace rosemarylink::transport::internal
