#include "rosemarylink/transport/WebSocketLinks.h"

#include "LinkConnection.h"
#include "LinkDispatcher.h"
#include "LinkTable.h"
#include "PendingCalls.h"

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace rosemarylink::transport {

using namespace internal;

namespace {

    const Logger logger("links");

    // How long stop waits for the close events of sockets before it stops the I/O thread.
    constexpr Milliseconds closeTimeout { 200 };

    std::string encode(const messages::Envelope& envelope)
    {
        std::string bytes;
        nlohmann::json::to_cbor(messages::toJson(envelope), bytes);
        return bytes;
    }

    Result<messages::Envelope> decode(const std::string& bytes)
    {
        const auto json = nlohmann::json::from_cbor(bytes, true, false);
        if (json.is_discarded())
            return invalidArgument("the message is not CBOR");
        return messages::parseEnvelope(json);
    }

    messages::Envelope makeMessage(messages::MessageKind kind, const std::string& type, const nlohmann::json& body)
    {
        messages::Envelope envelope;
        envelope.kind = kind;
        envelope.type = type;
        envelope.body = body;
        return envelope;
    }

    // The size in bytes of an RFC 6455 frame. Only clients add the mask of 4 bytes, so 2 bytes are counted per frame.
    std::int64_t frameSize(std::size_t payload)
    {
        const std::size_t header = payload < 126 ? 2 : (payload < 65536 ? 4 : 10);
        return static_cast<std::int64_t>(payload + header + 2);
    }

    EndpointOptions endpointOptions(const LinkOptions& options)
    {
        return { options.self, options.maximumMessageSize, options.receiveTimeout, options.maximumStrangers,
            options.maximumPerPeer };
    }

} // namespace

class WebSocketLinks::State final : public LinkEvents {
public:
    explicit State(const LinkOptions&);

    Status start();
    void stop();
    void setPeers(const std::vector<PeerAddress>&);
    void notify(const InstanceId& to, std::string bytes);
    Result<nlohmann::json> call(const InstanceId& to, messages::Envelope, Milliseconds timeout);

    bool isPeer(const InstanceId& id) const override { return table_.isPeer(id); }
    void linkOpened(const LinkPointer&) override;
    void linkReceived(const LinkPointer&, const std::string& bytes) override;
    void linkActive(const LinkPointer&) override;
    void linkClosed(const LinkPointer&, const std::string& reason) override;

    LinkDispatcher& dispatcher() { return dispatcher_; }
    const LinkTable& table() const { return table_; }
    std::int64_t bytes() const { return bytes_; }
    int port() const { return port_; }

private:
    std::string encodeAnswer(const messages::Envelope&) const;
    bool send(const LinkPointer&, const std::string& bytes);
    void sendCall(const InstanceId& to, std::int64_t id, const std::shared_ptr<PendingCall>&, const std::string& bytes);
    void received(const LinkPointer&, messages::Envelope);
    void scheduleTick();

    LinkOptions options_;
    SystemClock clock_;
    boost::asio::io_context context_ { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ { context_.get_executor() };
    boost::asio::steady_timer timer_ { context_ };
    LinkClient client_;
    LinkServer server_;
    LinkTable table_;
    PendingCalls pending_;
    LinkDispatcher dispatcher_;
    std::atomic<std::int64_t> bytes_ { 0 };
    std::atomic<int> port_ { 0 };
    std::atomic<bool> stopped_ { false };
    std::thread thread_;
};

WebSocketLinks::State::State(const LinkOptions& options)
    : options_(options)
    , client_(context_, endpointOptions(options), *this)
    , server_(context_, endpointOptions(options), *this)
    , table_(
          options, [this](const PeerAddress& address) { return client_.open(address); },
          [this](const LinkConnection* link) { pending_.failAll(link); })
    , dispatcher_(options.callThreads, options.maximumQueuedCalls)
{
}

Status WebSocketLinks::State::start()
{
    BOOST_OUTCOME_TRYV(server_.listen(options_.host, options_.port));
    port_ = server_.port();
    logger.info("listening", { { "host", options_.host }, { "port", port_.load() } });
    scheduleTick();
    thread_ = std::thread([this] { context_.run(); });
    return okStatus();
}

void WebSocketLinks::State::stop()
{
    if (stopped_.exchange(true))
        return;
    boost::asio::post(context_, [this] {
        server_.stopListening();
        table_.dropAll();
        work_.reset();
        timer_.expires_after(closeTimeout);
        timer_.async_wait([this](const boost::system::error_code&) { context_.stop(); });
    });
    pending_.failAll();
    if (thread_.joinable())
        thread_.join();
    dispatcher_.stop();
    pending_.failAll();
}

void WebSocketLinks::State::scheduleTick()
{
    timer_.expires_after(std::clamp(options_.pingInterval / 4, Milliseconds(10), Milliseconds(100)));
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error || stopped_)
            return;
        table_.tick(clock_.monotonic());
        scheduleTick();
    });
}

void WebSocketLinks::State::setPeers(const std::vector<PeerAddress>& peers)
{
    boost::asio::post(context_, [this, peers] {
        if (!stopped_)
            table_.setPeers(peers, clock_.monotonic());
    });
}

bool WebSocketLinks::State::send(const LinkPointer& link, const std::string& bytes)
{
    if (!link || link->unsentBytes() + bytes.size() > options_.maximumUnsentSize || !link->send(bytes))
        return false;
    bytes_ += frameSize(bytes.size());
    return true;
}

void WebSocketLinks::State::notify(const InstanceId& to, std::string bytes)
{
    if (bytes.size() > options_.maximumMessageSize) {
        logger.error("message is longer than the limit", { { "peer", to }, { "bytes", bytes.size() } });
        return;
    }
    boost::asio::post(context_, [this, to, bytes = std::move(bytes)] { send(table_.connectionTo(to), bytes); });
}

Result<nlohmann::json> WebSocketLinks::State::call(
    const InstanceId& to, messages::Envelope envelope, Milliseconds timeout)
{
    if (stopped_)
        return unavailable("the links have stopped", Verdict::NotRun);
    const auto [id, pending] = pending_.add();
    envelope.id = id;
    std::string bytes = encode(envelope);
    if (bytes.size() > options_.maximumMessageSize) {
        pending_.remove(id);
        return invalidArgument("the message is longer than " + std::to_string(options_.maximumMessageSize) + " bytes");
    }
    boost::asio::post(
        context_, [this, to, id = id, call = pending, bytes = std::move(bytes)] { sendCall(to, id, call, bytes); });
    Result<nlohmann::json> outcome = pending->wait(timeout);
    pending_.remove(id);
    return outcome;
}

void WebSocketLinks::State::sendCall(
    const InstanceId& to, std::int64_t id, const std::shared_ptr<PendingCall>& call, const std::string& bytes)
{
    const LinkPointer link = table_.connectionTo(to);
    if (!link) {
        call->complete(unavailable("no connection to instance " + to.value(), Verdict::NotRun));
        return;
    }
    if (call->beginSend(link.get()) && !send(link, bytes))
        pending_.answer(id, link.get(),
            unavailable("the connection to instance " + to.value() + " takes no message", Verdict::NotRun));
}

void WebSocketLinks::State::linkOpened(const LinkPointer& link)
{
    if (stopped_)
        link->drop();
    else
        table_.opened(link, clock_.monotonic());
}

void WebSocketLinks::State::linkReceived(const LinkPointer& link, const std::string& bytes)
{
    bytes_ += frameSize(bytes.size());
    table_.recordActivity(link, clock_.monotonic());
    auto envelope = decode(bytes);
    if (envelope)
        received(link, std::move(envelope).value());
    else
        logger.warning("message refused", { { "peer", link->peer() }, { "reason", envelope.error().message } });
}

void WebSocketLinks::State::received(const LinkPointer& link, messages::Envelope envelope)
{
    switch (envelope.kind) {
    case messages::MessageKind::Notify:
        dispatcher_.notification(link->peer(), std::move(envelope));
        return;
    case messages::MessageKind::Call:
        dispatcher_.call(link->peer(), std::move(envelope), [this, link](const messages::Envelope& answer) {
            boost::asio::post(context_, [this, link, bytes = encodeAnswer(answer)] { send(link, bytes); });
        });
        return;
    case messages::MessageKind::Answer:
        if (envelope.error)
            pending_.answer(envelope.id.value_or(0), link.get(), fromWire(*envelope.error));
        else
            pending_.answer(envelope.id.value_or(0), link.get(), envelope.body.value_or(nlohmann::json::object()));
        return;
    }
}

// Replaces an answer above the message limit by an error. The peer would close the connection at a longer message,
// which would fail all pending calls on it.
std::string WebSocketLinks::State::encodeAnswer(const messages::Envelope& answer) const
{
    std::string bytes = encode(answer);
    if (bytes.size() <= options_.maximumMessageSize)
        return bytes;
    messages::Envelope tooLong;
    tooLong.kind = messages::MessageKind::Answer;
    tooLong.id = answer.id;
    tooLong.error = toWire(
        { ErrorCode::Internal, "the answer is longer than " + std::to_string(options_.maximumMessageSize) + " bytes",
            Verdict::Ran, std::nullopt });
    return encode(tooLong);
}

void WebSocketLinks::State::linkActive(const LinkPointer& link)
{
    bytes_ += 2 * frameSize(0); // a ping and its pong
    table_.recordActivity(link, clock_.monotonic());
}

void WebSocketLinks::State::linkClosed(const LinkPointer& link, const std::string&)
{
    table_.closed(link, clock_.monotonic());
}

WebSocketLinks::WebSocketLinks(const LinkOptions& options)
    : state_(std::make_unique<State>(options))
{
}

WebSocketLinks::~WebSocketLinks() { stop(); }

Status WebSocketLinks::start() { return state_->start(); }

void WebSocketLinks::stop() { state_->stop(); }

int WebSocketLinks::port() const { return state_->port(); }

void WebSocketLinks::setHandler(const std::string& type, Handler handler)
{
    state_->dispatcher().setHandler(type, std::move(handler));
}

void WebSocketLinks::setPeers(const std::vector<PeerAddress>& peers) { state_->setPeers(peers); }

void WebSocketLinks::notify(const InstanceId& to, const std::string& type, const nlohmann::json& body)
{
    state_->notify(to, encode(makeMessage(messages::MessageKind::Notify, type, body)));
}

Result<nlohmann::json> WebSocketLinks::call(
    const InstanceId& to, const std::string& type, const nlohmann::json& body, Milliseconds timeout)
{
    return state_->call(to, makeMessage(messages::MessageKind::Call, type, body), timeout);
}

std::vector<InstanceId> WebSocketLinks::connectedPeers() const { return state_->table().connectedPeers(); }

std::int64_t WebSocketLinks::bytesTransferred() const { return state_->bytes(); }

} // namespace rosemarylink::transport
