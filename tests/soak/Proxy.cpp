#include "Proxy.h"

#include "rosemarylink/reactor/HttpMessage.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <utility>

namespace rosemarylink::soak {

using reactor::SocketBuffer;

// One connection through the proxy.
class Proxy::Link final : public std::enable_shared_from_this<Proxy::Link> {
public:
    Link(Proxy& proxy, const Poco::Net::StreamSocket& client, const Poco::Net::StreamSocket& server)
        : proxy_(proxy)
        , client_(client)
        , server_(server)
    {
    }

    void start()
    {
        clientEnd_ = std::make_shared<End>(*this, client_, server_, /*requests=*/true);
        serverEnd_ = std::make_shared<End>(*this, server_, client_, /*requests=*/false);
        proxy_.loop_.watch(client_.socket(), false, clientEnd_);
        proxy_.loop_.watch(server_.socket(), true, serverEnd_);
    }

    void pass()
    {
        clientEnd_->pass();
        serverEnd_->pass();
    }

    void silence()
    {
        proxy_.loop_.unwatch(client_.socket());
        proxy_.loop_.unwatch(server_.socket());
        closed_ = true;
    }

    void close(bool reset)
    {
        if (!std::exchange(closed_, true))
            silence();
        for (SocketBuffer* const end : { &client_, &server_ }) {
            if (reset)
                end->socket().setLinger(true, 0);
            end->socket().close();
        }
    }

private:
    // Takes what arrives at one end and passes it to the other.
    class End final : public reactor::SocketHandler {
    public:
        End(Link& link, SocketBuffer& from, SocketBuffer& to, bool requests)
            : link_(link)
            , from_(from)
            , to_(to)
            , requests_(requests)
        {
        }

        void onReadable() override
        {
            const auto self = link_.shared_from_this();
            const bool closed = from_.receive() == SocketBuffer::Progress::Closed;
            pass();
            if (closed)
                link_.end();
        }

        void onWritable() override
        {
            const auto self = link_.shared_from_this();
            if (from_.send() == SocketBuffer::Progress::Closed)
                link_.end();
            else if (!from_.hasUnsent())
                link_.proxy_.loop_.watch(from_.socket(), false, link_.handlerOf(requests_));
        }

        void pass()
        {
            const LinkFault& fault = link_.proxy_.fault_;
            if (link_.closed_ || from_.received().empty() || (requests_ ? fault.holdRequests : fault.holdAnswers))
                return;
            const std::string bytes = std::exchange(from_.received(), "");
            if (fault.delay == Milliseconds(0) && waiting_ == 0) {
                send(bytes);
                return;
            }
            ++waiting_; // later bytes stay behind these
            link_.proxy_.loop_.after(fault.delay, [self = link_.shared_from_this(), this, bytes] {
                --waiting_;
                send(bytes);
            });
        }

    private:
        void send(const std::string& bytes)
        {
            if (link_.closed_)
                return;
            to_.append(bytes);
            link_.proxy_.loop_.watch(to_.socket(), true, link_.handlerOf(!requests_));
        }

        Link& link_;
        SocketBuffer& from_;
        SocketBuffer& to_;
        const bool requests_;
        int waiting_ = 0;
    };

    std::shared_ptr<End> handlerOf(bool requests) const { return requests ? clientEnd_ : serverEnd_; }

    void end()
    {
        if (closed_)
            return;
        const auto self = shared_from_this();
        proxy_.links_.erase(self);
        close(/*reset=*/false);
    }

    Proxy& proxy_;
    SocketBuffer client_;
    SocketBuffer server_;
    std::shared_ptr<End> clientEnd_;
    std::shared_ptr<End> serverEnd_;
    bool closed_ = false;
};

class Proxy::Acceptor final : public reactor::SocketHandler {
public:
    explicit Acceptor(Proxy& proxy)
        : proxy_(proxy)
    {
    }
    void onReadable() override { proxy_.accept(); }
    void onWritable() override { }

private:
    Proxy& proxy_;
};

Proxy::Proxy(reactor::EventLoop& loop, std::string target)
    : loop_(loop)
    , target_(std::move(target))
    , socket_(Poco::Net::SocketAddress("127.0.0.1:0"))
    , address_(socket_.address().toString())
    , acceptor_(std::make_shared<Acceptor>(*this))
{
    loop_.watch(socket_, false, acceptor_);
}

Proxy::~Proxy()
{
    loop_.unwatch(socket_);
    breakConnections(/*reset=*/true);
    for (const auto& link : silenced_)
        link->close(/*reset=*/true);
}

void Proxy::accept()
{
    const Poco::Net::StreamSocket client = socket_.acceptConnection();
    try {
        Poco::Net::StreamSocket server;
        server.connectNB(Poco::Net::SocketAddress(target_));
        const auto link = std::make_shared<Link>(*this, client, server);
        links_.insert(link);
        link->start();
    } catch (const Poco::Exception&) {
        // The server is not there; the client sees its connection end.
    }
}

void Proxy::setFault(const LinkFault& fault)
{
    fault_ = fault;
    const auto links = links_;
    for (const auto& link : links)
        link->pass();
}

void Proxy::breakConnections(bool reset)
{
    const auto links = std::exchange(links_, {});
    for (const auto& link : links) {
        if (reset) {
            link->close(/*reset=*/true);
        } else {
            link->silence();
            silenced_.insert(link);
        }
    }
}

} // namespace rosemarylink::soak
