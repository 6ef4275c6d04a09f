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
    std::string body; // whole: a body shorter than its declared length is an error
};

// A client of one HTTP server, given as "IP:port", with a pool of kept-alive connections. Safe to use from several
// threads.
class HttpClient {
public:
    HttpClient(std::string address, std::size_t maximumIdle = 8);
    ~HttpClient();

    // Fails with Unavailable: NotRun when no byte of the request left, otherwise MayHaveRun. An idle connection that
    // the server closed is replaced once when nothing can have run.
    Result<HttpReply> send(const std::string& method, const std::string& target, const Headers&,
        const std::string& body, Milliseconds timeout);

    // Bytes of requests and replies since the start, without TCP and IP headers.
    std::int64_t bytesTransferred() const { return bytesTransferred_; }

private:
    struct Pool;
    std::unique_ptr<Pool> pool_;
    std::atomic<std::int64_t> bytesTransferred_ { 0 };
};

} // namespace rosemarylink::transport
