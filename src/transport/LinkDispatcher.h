#pragma once

#include "rosemarylink/generated/Messages.h"
#include "rosemarylink/transport/InstanceLinks.h"

#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <string>

namespace rosemarylink::transport::internal {

// Runs message handlers on threads of its own. Notifications run in order on one separate thread, so that a heartbeat
// does not wait for a call that blocks on the store.
class LinkDispatcher {
public:
    using Answer = std::function<void(const messages::Envelope&)>;

    LinkDispatcher(int callThreads, int maximumQueuedCalls);
    ~LinkDispatcher();

    // Set all handlers before the first message.
    void setHandler(const std::string& type, InstanceLinks::Handler);

    void notification(const InstanceId& from, messages::Envelope);

    // Calls `Answer` on the thread that ran the handler, or on the caller's thread when the queue is full.
    void call(const InstanceId& from, messages::Envelope, Answer);

    // Waits for running handlers and discards queued messages.
    void stop();

private:
    Result<nlohmann::json> handle(const InstanceId& from, const messages::Envelope&) const;

    std::map<std::string, InstanceLinks::Handler> handlers_;
    int maximumQueuedCalls_;
    std::atomic<int> queuedCalls_ { 0 };
    std::atomic<int> queuedNotifications_ { 0 };
    std::atomic<bool> stopped_ { false };
    boost::asio::thread_pool notifications_ { 1 };
    boost::asio::thread_pool calls_;
};

// Convert errors to and from their form in an answer.
messages::WireError toWire(const Error&);
Error fromWire(const messages::WireError&);

} // namespace rosemarylink::transport::internal
