#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <ostream>

namespace rosemarylink {

// An integer quantity of one unit. Only quantities of the same unit can be added and compared.
template <typename Tag> class Quantity {
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::int64_t value)
        : value_(value)
    {
    }

    constexpr std::int64_t value() const { return value_; }

    constexpr Quantity& operator+=(Quantity other)
    {
        value_ += other.value_;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        value_ -= other.value_;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return Quantity(a.value_ + b.value_); }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return Quantity(a.value_ - b.value_); }
    friend constexpr Quantity operator*(Quantity a, std::int64_t factor) { return Quantity(a.value_ * factor); }
    friend constexpr bool operator==(Quantity a, Quantity b) { return a.value_ == b.value_; }
    friend constexpr bool operator!=(Quantity a, Quantity b) { return a.value_ != b.value_; }
    friend constexpr bool operator<(Quantity a, Quantity b) { return a.value_ < b.value_; }
    friend constexpr bool operator>(Quantity a, Quantity b) { return a.value_ > b.value_; }
    friend constexpr bool operator<=(Quantity a, Quantity b) { return a.value_ <= b.value_; }
    friend constexpr bool operator>=(Quantity a, Quantity b) { return a.value_ >= b.value_; }
    friend std::ostream& operator<<(std::ostream& out, Quantity quantity) { return out << quantity.value_; }

private:
    std::int64_t value_ = 0;
};

using Accelerators = Quantity<struct AcceleratorsTag>;
using Bytes = Quantity<struct BytesTag>;
using ConfigVersion = Quantity<struct ConfigVersionTag>; // increases by one with each accepted configuration
using Cores = Quantity<struct CoresTag>;
using FencingToken = Quantity<struct FencingTokenTag>; // increases with each change of a cell's owner
using Incarnation = Quantity<struct IncarnationTag>; // increases with each restart of an instance
using Megabytes = Quantity<struct MegabytesTag>; // 1,000,000 bytes
using Revision = Quantity<struct RevisionTag>; // number of a store change; of a key: its last change, or 0 if absent

using Milliseconds = std::chrono::milliseconds;

// A point in time, in milliseconds since the Unix epoch or since the start of a manual clock.
using Timestamp = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

inline Timestamp timestampFromMilliseconds(std::int64_t milliseconds) { return Timestamp(Milliseconds(milliseconds)); }

inline std::int64_t toMilliseconds(Timestamp time) { return time.time_since_epoch().count(); }

} // namespace rosemarylink

template <typename Tag> struct std::hash<rosemarylink::Quantity<Tag>> {
    std::size_t operator()(rosemarylink::Quantity<Tag> quantity) const noexcept
    {
        return std::hash<std::int64_t> {}(quantity.value());
    }
};
