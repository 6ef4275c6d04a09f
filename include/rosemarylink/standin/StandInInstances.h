#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Platform.h"
#include "rosemarylink/transport/HttpServer.h"

#include <map>
#include <mutex>
#include <vector>

namespace rosemarylink::standin {

// Simulates the platform's list of live and leaving instances, which lags behind their announcements. An entry is
// removed unless it is announced again within the expiry. Thread-safe.
class StandInInstances {
public:
    StandInInstances(const Clock&, Milliseconds lag, Milliseconds expiry);

    // Adds the routes under /instances.
    void registerRoutes(transport::HttpRouter&);

private:
    struct Entry {
        platform::InstanceEntry instance;
        Milliseconds announcedAt { 0 };
    };

    transport::HttpResponse announce(const transport::HttpRequest&);
    transport::HttpResponse markLeaving(const transport::HttpRequest&);
    transport::HttpResponse list();

    const Clock& clock_;
    Milliseconds lag_;
    Milliseconds expiry_;
    std::mutex mutex_;
    std::map<InstanceId, Entry> entries_;
    std::vector<platform::InstanceEntry> published_; // the list that callers get, refreshed at most once per lag
    Milliseconds publishedAt_ { 0 };
    bool hasPublished_ = false;
};

} // namespace rosemarylink::standin
