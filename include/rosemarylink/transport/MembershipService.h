#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/state/AuditLog.h"
#include "rosemarylink/state/ConfigStore.h"
#include "rosemarylink/state/KeyValueStore.h"
#include "rosemarylink/state/MembershipAgent.h"
#include "rosemarylink/transport/InstanceLinks.h"

#include <memory>

namespace rosemarylink::transport {

struct MembershipServiceOptions {
    InstanceId self;
    messages::InstanceRole role = messages::InstanceRole::Gateway;
    Milliseconds heartbeatInterval = state::MembershipAgent::heartbeatInterval;
    Milliseconds listInterval { 2000 }; // between reads of the platform's list
    Milliseconds watchTimeout { 2000 }; // of one blocking watch call
    Milliseconds retentionInterval { 3600000 }; // between removals of expired audit pages
};

// Runs the membership, configuration and audit components of one process on threads of its own and connects them to the
// instance links, the store and the platform's list. All references must outlive it.
class MembershipService {
public:
    MembershipService(const MembershipServiceOptions&, InstanceLinks&, state::KeyValueStore&, state::InstanceDirectory&,
        const Clock&);
    ~MembershipService(); // stops

    // Sets the handlers of the links. Call once, before the links start and before start.
    void registerHandlers();

    // Starts the threads. The instance's state is Starting until setState is called on the agent.
    void start();

    // Stops the threads, waits for store calls in progress, and releases the duties. Blocks on the store.
    void stop();

    // Stores a change, puts it into force on this instance and announces it. Fails like ConfigStore::propose. Blocks on
    // the store.
    Result<state::ConfigAcceptance> propose(const state::ConfigProposal&);

    // Provides the members, the configuration in force and the coverage of a version. Set load, state and listeners on
    // it.
    state::MembershipAgent& agent();

    // For reading the record only; use propose for changes.
    state::ConfigStore& configStore();
    state::AuditLog& auditLog();

private:
    struct State;
    std::shared_ptr<State> state_; // the links' handlers hold weak pointers
};

} // namespace rosemarylink::transport
