#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/transport/HttpServer.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace rosemarylink::transport {

struct HttpReply {
    int status = 0;
    Headers headers;
    std::string body; // complete: a body shorter than its declared length is an error
};

// A client of one HTTP server, given as "IP:port", with a pool of persistent connections. Thread-safe.
class HttpClient {
public:
    HttpClient(std::string address, std::size_t maximumIdle = 8);
    ~HttpClient();

    // Sends a request and blocks until the reply is complete. The time-out applies to connecting and to each wait for
    // data. Fails with Unavailable: NotRun when no byte of the request was sent, otherwise MayHaveRun. Idle connections
    // that the server has closed are discarded before use.
    Result<HttpReply> send(const std::string& method, const std::string& target, const Headers&,
        const std::string& body, Milliseconds timeout);

    // Bytes of requests and replies since construction, without TCP and IP headers.
    std::int64_t bytesTransferred() const { return bytesTransferred_; }

private:
    struct Pool;
    std::unique_ptr<Pool> pool_;
    std::atomic<std::int64_t> bytesTransferred_ { 0 };
};

} // namespace rosemarylink::transport
