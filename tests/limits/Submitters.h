#pragma once

#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace rosemarylink::limits {

// Callers with a valid key that submit new jobs one after another on open connections, whatever the responses are.
struct SubmissionLoad {
    std::size_t connections = 0;
    std::size_t submissions = 0; // in all
    std::string body; // the same for all jobs
};

class Submitters {
public:
    Submitters(const Poco::Net::SocketAddress&, const SubmissionLoad&);

    // Returns when all submissions have been sent, or when `running` returns false. Calls `observe` now and then on the
    // calling thread.
    void run(const std::function<void()>& observe, const std::function<bool()>& running);

    std::size_t accepted() const { return accepted_; }
    std::size_t refused() const { return refused_; } // with 429 or 503
    std::size_t otherwise() const { return otherwise_; } // other responses, and connections that were closed

private:
    void submitAll();
    void count(int status);

    Poco::Net::SocketAddress address_;
    SubmissionLoad load_;
    std::atomic<std::size_t> next_ { 0 };
    std::atomic<std::size_t> accepted_ { 0 };
    std::atomic<std::size_t> refused_ { 0 };
    std::atomic<std::size_t> otherwise_ { 0 };
    std::atomic<bool> stopped_ { false };
};

} // namespace rosemarylink::limits
