#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace rosemarylink::bench {

// Random numbers that depend only on the seed. The standard distributions may differ between platforms.
class PolicyRandom {
public:
    explicit PolicyRandom(std::uint64_t seed)
        : engine_(seed)
    {
    }

    double uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
    double uniform(double low, double high) { return low + (high - low) * uniform(); }
    double logUniform(double low, double high) { return low * std::pow(high / low, uniform()); }
    double exponential(double mean) { return -mean * std::log(1.0 - uniform()); }
    std::size_t index(std::size_t size) { return static_cast<std::size_t>(uniform() * static_cast<double>(size)); }
    bool chance(double probability) { return uniform() < probability; }

private:
    std::mt19937_64 engine_;
};

} // namespace rosemarylink::bench
