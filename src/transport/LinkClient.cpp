#include "LinkConnection.h"
#include "WebSocketConnection.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

namespace rosemarylink::transport::internal {

using Client = websocketpp::client<websocketpp::config::asio_client>;

struct LinkClient::State {
    State(const EndpointOptions& endpointOptions, LinkEvents& linkEvents)
        : options(endpointOptions)
        , events(linkEvents)
    {
    }

    Client endpoint;
    EndpointOptions options;
    LinkEvents& events;
};

LinkClient::LinkClient(boost::asio::io_context& context, const EndpointOptions& options, LinkEvents& events)
    : state_(std::make_unique<State>(options, events))
{
    prepareEndpoint(state_->endpoint, context, options);
}

LinkClient::~LinkClient() = default;

LinkPointer LinkClient::open(const PeerAddress& address)
{
    websocketpp::lib::error_code error;
    const std::string uri = "ws://" + address.host + ":" + std::to_string(address.port) + "/links";
    const Client::connection_ptr connection = state_->endpoint.get_connection(uri, error);
    if (error)
        return nullptr;
    connection->append_header(instanceHeader, state_->options.self.value());
    auto link = std::make_shared<WebSocketConnection<Client>>(connection, address.instance);
    link->attach(state_->events);
    LinkEvents& events = state_->events;
    connection->set_open_handler([link, &events](const websocketpp::connection_hdl& handle) {
        const auto opened = std::static_pointer_cast<Client::connection_type>(handle.lock());
        setSocketOptions(opened->get_raw_socket());
        // The address may have been reassigned to another instance while the platform's list still has the earlier one.
        if (opened->get_response_header(instanceHeader) != link->peer().value()) {
            link->drop();
            return;
        }
        events.linkOpened(link);
    });
    state_->endpoint.connect(connection);
    return link;
}

} // namespace rosemarylink::transport::internal
