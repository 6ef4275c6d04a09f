#include "LinkConnection.h"
#include "WebSocketConnection.h"

#include "rosemarylink/base/Log.h"

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace rosemarylink::transport::internal {

using Server = websocketpp::server<websocketpp::config::asio>;

namespace {

    const Logger logger("links");

} // namespace

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
    bool hasRoomFor(const InstanceId& peer, const Server::connection_ptr&);

    // Accepted connections by peer; those of instances that are not peers under the empty id.
    std::map<InstanceId, std::vector<std::weak_ptr<Server::connection_type>>> accepted;
};

// Bounds what clients that only claim to be instances can make this process hold: a message that arrives is held until
// its end.
bool LinkServer::State::hasRoomFor(const InstanceId& peer, const Server::connection_ptr& connection)
{
    const bool known = events.isPeer(peer);
    auto& connections = accepted[known ? peer : InstanceId()];
    connections.erase(
        std::remove_if(connections.begin(), connections.end(), [](const auto& earlier) { return earlier.expired(); }),
        connections.end());
    if (connections.size() >= (known ? options.maximumPerPeer : options.maximumStrangers)) {
        logger.warning("connection refused because of a limit",
            { { "peer", peer }, { "known", known }, { "open", connections.size() } });
        return false;
    }
    connections.push_back(connection);
    return true;
}

bool LinkServer::State::validate(const websocketpp::connection_hdl& handle)
{
    const Server::connection_ptr connection = endpoint.get_con_from_hdl(handle);
    const InstanceId peer(connection->get_request_header(instanceHeader));
    if (peer.empty() || peer == options.self || connection->get_resource() != "/links") {
        connection->set_status(websocketpp::http::status_code::forbidden);
        return false;
    }
    if (!hasRoomFor(peer, connection)) {
        connection->set_status(websocketpp::http::status_code::service_unavailable);
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
