#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/StrongId.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rosemarylink::state {

// Sends messages to other instances without blocking; a message may be lost. Implemented on top of the instance links.
class MembershipChannel {
public:
    virtual ~MembershipChannel() = default;
    virtual void notify(const InstanceId& to, const std::string& type, const nlohmann::json& body) = 0;
};

// An instance as the platform lists it.
struct ListedInstance {
    InstanceId id;
    std::string host; // IP address at which it accepts links
    int port = 0; // at which it accepts links
    RegionId region;
    FailureDomainId failureDomain;
    bool leaving = false;
};

// The platform's list of instances. It lags: it may still contain stopped instances and lack new ones. Calls block.
class InstanceDirectory {
public:
    virtual ~InstanceDirectory() = default;
    virtual Result<std::vector<ListedInstance>> list() = 0;
};

} // namespace rosemarylink::state
