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
    Milliseconds listInterval { 2000 }; // between readings of the platform's list
    Milliseconds watchTimeout { 2000 }; // of one waiting watch call
    Milliseconds retentionInterval { 3600000 }; // between removals of expired audit pages
};

// Membership, configuration and audit of one process: the parts of state on threads of their own, joined with the
// instance links, the store and the platform's list. All references must outlive it.
class MembershipService {
public:
    MembershipService(const MembershipServiceOptions&, InstanceLinks&, state::KeyValueStore&, state::InstanceDirectory&,
        const Clock&);
    ~MembershipService(); // stops

    // Sets the links' handlers; call it before the links start. Then start.
    void registerHandlers();

    // Starts the threads. The state is Starting until setState.
    void start();

    // Gives up duties and stops the threads. Waits for store calls in progress.
    void stop();

    // Stores a change, puts it into force here and announces it. Errors are those of ConfigStore::propose. Blocks on
    // the store.
    Result<state::ConfigAcceptance> propose(const state::ConfigProposal&);

    // The agent gives members, the configuration in force and the coverage of a version; set load, state and listeners
    // on it.
    state::MembershipAgent& agent();

    // For reading the record; use propose for changes.
    state::ConfigStore& configStore();
    state::AuditLog& auditLog();

private:
    struct State;
    std::shared_ptr<State> state_; // the links' handlers hold it weakly
};

} // namespace rosemarylink::transport
