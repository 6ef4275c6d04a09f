#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Platform.h"
#include "rosemarylink/transport/HttpServer.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace rosemarylink::standin {

// Simulates the platform's key-value store over HTTP. Values are kept in memory, calls are counted by kind, and faults
// can be injected. Thread-safe.
class StandInStore {
public:
    explicit StandInStore(const Clock&);

    // Adds the routes under /kv.
    void registerRoutes(transport::HttpRouter&);

    void setFaults(const platform::Faults&);

private:
    struct Value {
        std::string bytes;
        Revision revision;
        std::optional<LeaseId> lease;
    };
    struct Lease {
        Milliseconds ttl { 0 };
        Milliseconds expiresAt { 0 }; // monotonic time
    };
    struct Change {
        Revision revision;
        std::string key;
        std::optional<std::string> bytes;
    };
    using Handler = transport::HttpResponse (StandInStore::*)(const transport::HttpRequest&);

    void addRoute(transport::HttpRouter&, const std::string& kind, const std::string& method,
        const std::string& pattern, Handler);
    transport::HttpResponse serve(const std::string& kind, const transport::HttpRequest&, Handler);
    transport::HttpResponse read(const transport::HttpRequest&);
    transport::HttpResponse write(const transport::HttpRequest&);
    transport::HttpResponse removeValue(const transport::HttpRequest&);
    transport::HttpResponse list(const transport::HttpRequest&);
    transport::HttpResponse watch(const transport::HttpRequest&);
    transport::HttpResponse grantLease(const transport::HttpRequest&);
    transport::HttpResponse renewLease(const transport::HttpRequest&);
    transport::HttpResponse revokeLease(const transport::HttpRequest&);
    transport::HttpResponse callCounts();

    // These require mutex_ to be locked.
    Revision revisionOf(const std::string& key) const;
    void recordChange(const std::string& key, const std::optional<std::string>& bytes);
    void endLease(const LeaseId&);
    void expireLeases();

    const Clock& clock_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Value> values_;
    std::map<LeaseId, Lease> leases_;
    std::deque<Change> changes_;
    std::map<std::string, std::int64_t> callCounts_;
    Revision lastRevision_;
    std::int64_t lastLease_ = 0;
    platform::Faults faults_;
};

} // namespace rosemarylink::standin
