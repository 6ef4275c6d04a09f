#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace rosemarylink {

// A string identifier of its own type, so that identifiers of different kinds cannot be confused. Tag is an incomplete
// type that distinguishes the kinds.
template <typename Tag> class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : value_(std::move(value))
    {
    }

    const std::string& value() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend bool operator==(const StrongId& a, const StrongId& b) { return a.value_ == b.value_; }
    friend bool operator!=(const StrongId& a, const StrongId& b) { return a.value_ != b.value_; }
    friend bool operator<(const StrongId& a, const StrongId& b) { return a.value_ < b.value_; }
    friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.value_; }

private:
    std::string value_;
};

using AccountId = StrongId<struct AccountIdTag>; // a client account
using CellId = StrongId<struct CellIdTag>; // the part of the fleet that one scheduler owns at a time
using FailureDomainId = StrongId<struct FailureDomainIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
using InstanceId = StrongId<struct InstanceIdTag>; // a gateway or scheduler process
using JobId = StrongId<struct JobIdTag>;
using KindId = StrongId<struct KindIdTag>; // a kind of job or request, as declared by the client account
using LeaseId = StrongId<struct LeaseIdTag>;
using OperationId = StrongId<struct OperationIdTag>; // identifies one write, to recognize it after a lost reply
using OperatorId = StrongId<struct OperatorIdTag>;
using RackId = StrongId<struct RackIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>; // a service that a set of upstreams provides
using UpstreamId = StrongId<struct UpstreamIdTag>;
using WorkerId = StrongId<struct WorkerIdTag>;

} // namespace rosemarylink

template <typename Tag> struct std::hash<rosemarylink::StrongId<Tag>> {
    std::size_t operator()(const rosemarylink::StrongId<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};
