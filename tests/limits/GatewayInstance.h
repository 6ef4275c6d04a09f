#pragma once

#include <string>
#include <sys/types.h>

namespace rosemarylink::limits {

// A process of rosemarylink-gateway and the stand-in platform that it needs, on the loopback interface.
class GatewayInstance {
public:
    // `binaries` is the directory of the programs. Settings and logs are written to `directory`.
    GatewayInstance(const std::string& binaries, const std::string& directory);
    // Kills both processes.
    ~GatewayInstance();
    GatewayInstance(const GatewayInstance&) = delete;
    GatewayInstance& operator=(const GatewayInstance&) = delete;

    std::string address() const;
    std::string linkAddress() const;
    pid_t processId() const { return gateway_; }
    bool running() const;

    // The setting of this name; low, so that a small crowd exceeds it.
    static constexpr int connections = 64;

private:
    std::string directory_;
    pid_t standIn_ = 0;
    pid_t gateway_ = 0;
};

} // namespace rosemarylink::limits
