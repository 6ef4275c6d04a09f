#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Platform.h"
#include "rosemarylink/transport/HttpServer.h"

#include <map>
#include <mutex>
#include <vector>

namespace rosemarylink::standin {

// A stand-in of the platform's lagging list of live and leaving instances. An entry that is not announced again within
// the expiry is taken from the list.
class StandInInstances {
public:
    StandInInstances(const Clock&, Milliseconds lag, Milliseconds expiry);

    // Adds the routes under /instances.
    void registerRoutes(transport::HttpRouter&);

private:
    struct Entry {
        platform::InstanceEntry instance;
        Milliseconds announced { 0 };
    };

    transport::HttpResponse announce(const transport::HttpRequest&);
    transport::HttpResponse markLeaving(const transport::HttpRequest&);
    transport::HttpResponse list();

    const Clock& clock_;
    Milliseconds lag_;
    Milliseconds expiry_;
    std::mutex mutex_;
    std::map<InstanceId, Entry> entries_;
    std::vector<platform::InstanceEntry> published_; // what callers see; refreshed once per lag
    Milliseconds publishedAt_ { 0 };
    bool everPublished_ = false;
};

} // namespace rosemarylink::standin
