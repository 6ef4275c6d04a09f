#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace rosemarylink::transport {

// Forwards TCP connections to a loopback port. After silenceOpenConnections the connections open at that time stay open
// but carry no data; later ones are forwarded.
class SilentRelay {
public:
    explicit SilentRelay(int targetPort)
        : targetPort_(targetPort)
        , acceptor_(context_, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
        port_ = acceptor_.local_endpoint().port();
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~SilentRelay()
    {
        context_.stop();
        thread_.join();
    }

    int port() const { return port_; }
    int accepted() const { return accepted_; }

    void silenceOpenConnections()
    {
        boost::asio::post(context_, [this] {
            for (const auto& pair : pairs_)
                pair->silent = true;
        });
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Pair {
        explicit Pair(boost::asio::io_context& context)
            : near(context)
            , far(context)
        {
        }
        Socket near;
        Socket far;
        std::array<std::array<char, 16384>, 2> buffers {};
        bool silent = false;
    };

    void accept()
    {
        auto pair = std::make_shared<Pair>(context_);
        acceptor_.async_accept(pair->near, [this, pair](const boost::system::error_code& error) {
            if (error)
                return;
            ++accepted_;
            boost::system::error_code failed;
            pair->far.connect(
                { boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(targetPort_) }, failed);
            if (!failed) {
                pairs_.push_back(pair);
                forward(pair, pair->near, pair->far, pair->buffers[0]);
                forward(pair, pair->far, pair->near, pair->buffers[1]);
            }
            accept();
        });
    }

    void forward(const std::shared_ptr<Pair>& pair, Socket& from, Socket& to, std::array<char, 16384>& buffer)
    {
        from.async_read_some(boost::asio::buffer(buffer),
            [this, pair, &from, &to, &buffer](const boost::system::error_code& error, std::size_t size) {
                boost::system::error_code failed = error;
                if (!error && !pair->silent)
                    boost::asio::write(to, boost::asio::buffer(buffer.data(), size), failed);
                if (!failed) {
                    forward(pair, from, to, buffer);
                } else if (!pair->silent) {
                    pair->near.close(failed);
                    pair->far.close(failed);
                }
            });
    }

    int targetPort_;
    int port_ = 0;
    std::atomic<int> accepted_ { 0 };
    boost::asio::io_context context_ { 1 };
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<Pair>> pairs_;
    std::thread thread_;
};

} // namespace rosemarylink::transport
