#pragma once

#include "rosemarylink/base/Clock.h"

#include <optional>
#include <string>
#include <sys/types.h>

namespace rosemarylink::soak {

// What the platform grants a process, as its settings announce it.
struct MachineLimits {
    int memoryMb = 0;
    int fileDescriptors = 0;
};

// A process of rosemarylink-edge on the loopback interface.
class EdgeInstance {
public:
    // Writes the settings file into the directory. The number must be unique in a run and below 200, because it is
    // added to port numbers that are 200 apart.
    EdgeInstance(
        std::string binary, std::string directory, int number, std::string storeAddress, Milliseconds workerLease);
    // Kills the process if it is running.
    ~EdgeInstance();

    // Writes the settings file again with these limits. Without a call the settings announce none.
    void setMachineLimits(const MachineLimits&);

    void start();
    void sendSignal(int number);
    bool running() const { return process_ != 0; }
    int startCount() const { return startCount_; }
    const std::string& name() const { return name_; }
    const std::string& callerAddress() const { return callerAddress_; }
    std::string readinessAddress() const;
    std::string metricsAddress() const;
    pid_t processId() const { return process_; } // 0 if it is not running

    // Collects the exit status if the process has ended. Returns true if it ended without SIGTERM or SIGKILL from
    // sendSignal, which is a fault of the program.
    bool hasExitedUnexpectedly();

    // Writes the settings file again, as the platform does before SIGHUP.
    void writeSettings() const;

private:
    std::string binary_;
    std::string directory_;
    int number_ = 0;
    std::string name_;
    std::string storeAddress_;
    std::string callerAddress_;
    Milliseconds workerLease_;
    std::optional<MachineLimits> machineLimits_;
    pid_t process_ = 0;
    int startCount_ = 0;
    bool stopRequested_ = false; // SIGTERM or SIGKILL has been sent
};

} // namespace rosemarylink::soak
