#pragma once

#include <string>
#include <sys/types.h>

namespace rosemarylink::soak {

// One real process of rosemarylink-edge on the loopback interface.
class EdgeInstance {
public:
    // Writes the settings file into the directory. Numbers tell the instances of a run apart, below 200.
    EdgeInstance(std::string binary, std::string directory, int number, std::string storeAddress);
    // Kills the process if it runs.
    ~EdgeInstance();

    void start();
    void signal(int number);
    bool running() const { return process_ != 0; }
    int starts() const { return starts_; }
    const std::string& name() const { return name_; }
    const std::string& callerAddress() const { return callerAddress_; }

    // Notes an end of the process. True when it ended by itself, which is a fault of the program.
    bool hasFailed();

    // Writes the settings file again, as the platform does before SIGHUP.
    void writeSettings() const;

private:
    std::string binary_;
    std::string directory_;
    int number_ = 0;
    std::string name_;
    std::string storeAddress_;
    std::string callerAddress_;
    pid_t process_ = 0;
    int starts_ = 0;
    bool ending_ = false; // a signal that ends it has been sent
};

} // namespace rosemarylink::soak
