#include "EdgeInstance.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace rosemarylink::soak {

namespace {

    // A loopback address derived from the process id, so that parallel runs do not use the same ports.
    std::string host()
    {
        const int id = static_cast<int>(::getpid());
        return "127." + std::to_string(1 + (id >> 16) % 254) + "." + std::to_string((id >> 8) % 256) + "."
            + std::to_string(id % 256);
    }

    constexpr int callerPort = 8000;
    constexpr int readinessPort = 8200;
    constexpr int metricsPort = 8400;

    std::string address(int port) { return host() + ":" + std::to_string(port); }

} // namespace

EdgeInstance::EdgeInstance(
    std::string binary, std::string directory, int number, std::string storeAddress, Milliseconds workerLease)
    : binary_(std::move(binary))
    , directory_(std::move(directory))
    , number_(number)
    , name_("edge-" + std::to_string(number))
    , storeAddress_(std::move(storeAddress))
    , callerAddress_(address(callerPort + number))
    , workerLease_(workerLease)
{
    writeSettings();
}

EdgeInstance::~EdgeInstance()
{
    if (!running())
        return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
}

void EdgeInstance::writeSettings() const
{
    nlohmann::json settings = { { "NodeName", name_ }, { "Zone", "zone" }, { "Ip", host() },
        { "Listen", { { "Frontend", callerAddress_ }, { "Readiness", address(readinessPort + number_) } } },
        { "InternalPortRange", { metricsPort + number_, metricsPort + number_ } },
        { "platform", { { "Address", storeAddress_ } } },
        { "Bounds",
            { { "GraceS", 6 }, { "HoldMaxMs", workerLease_.count() }, { "GangTimeoutMs", 3000 }, { "StopMs", 400 },
                { "ReclaimMs", 3000 }, { "status_s", 120 } } } };
    if (machineLimits_) {
        settings["Limits"]
            = { { "MemoryMb", machineLimits_->memoryMb }, { "FileDescriptors", machineLimits_->fileDescriptors } };
    }
    std::ofstream(directory_ + "/" + name_ + ".json") << settings.dump(2) << "\n";
}

void EdgeInstance::setMachineLimits(const MachineLimits& limits)
{
    machineLimits_ = limits;
    writeSettings();
}

std::string EdgeInstance::readinessAddress() const { return address(readinessPort + number_); }

std::string EdgeInstance::metricsAddress() const { return address(metricsPort + number_); }

void EdgeInstance::start()
{
    const std::string settings = directory_ + "/" + name_ + ".json";
    const std::string log = directory_ + "/" + name_ + ".log";
    stopRequested_ = false;
    ++startCount_;
    process_ = ::fork();
    if (process_ < 0)
        throw std::runtime_error("cannot start a process");
    if (process_ > 0)
        return;
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execl(binary_.c_str(), binary_.c_str(), "--settings", settings.c_str(), nullptr);
    ::_exit(127);
}

void EdgeInstance::sendSignal(int number)
{
    if (!running())
        return;
    stopRequested_ = stopRequested_ || number == SIGKILL || number == SIGTERM;
    ::kill(process_, number);
}

bool EdgeInstance::hasExitedUnexpectedly()
{
    int status = 0;
    if (!running() || ::waitpid(process_, &status, WNOHANG) != process_)
        return false;
    process_ = 0;
    return !stopRequested_;
}

} // namespace rosemarylink::soak
