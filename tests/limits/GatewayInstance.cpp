#include "GatewayInstance.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rosemarylink::limits {

namespace {

    constexpr int httpPort = 8600;
    constexpr int linkPort = 8601;
    constexpr std::chrono::milliseconds portFileInterval { 20 };
    constexpr int portFileAttempts = 1500;

    // A loopback address derived from the process id, so that parallel runs do not use the same ports.
    std::string host()
    {
        const int id = static_cast<int>(::getpid());
        return "127." + std::to_string(1 + (id >> 16) % 254) + "." + std::to_string((id >> 8) % 256) + "."
            + std::to_string(id % 256);
    }

    pid_t startProcess(const std::string& binary, const std::vector<std::string>& arguments, const std::string& log)
    {
        std::vector<char*> words { const_cast<char*>(binary.c_str()) };
        for (const std::string& argument : arguments)
            words.push_back(const_cast<char*>(argument.c_str()));
        words.push_back(nullptr);
        const pid_t process = ::fork();
        if (process < 0)
            throw std::runtime_error("cannot start a process");
        if (process > 0)
            return process;
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execv(binary.c_str(), words.data());
        ::_exit(127);
    }

    std::string readPort(const std::string& path)
    {
        for (int attempt = 0; attempt < portFileAttempts; ++attempt) {
            std::string port;
            if (std::ifstream(path) >> port)
                return port;
            std::this_thread::sleep_for(portFileInterval);
        }
        throw std::runtime_error("the stand-in platform does not start");
    }

} // namespace

GatewayInstance::GatewayInstance(const std::string& binaries, const std::string& directory)
    : directory_(directory)
{
    const std::string portFile = directory + "/port";
    std::ofstream(directory + "/standin.ini")
        << "[listen]\nhost = " << host() << "\nport-file = " << portFile << "\n[fleet]\nregions = north\nworkers = 4\n"
        << "[upstreams]\nservices = quotes\ncount = 4\n";
    standIn_ = startProcess(
        binaries + "/rosemarylink-standin", { "--settings", directory + "/standin.ini" }, directory + "/standin.log");
    std::ofstream(directory + "/gateway.ini")
        << "[instance]\nid = gateway-1\nregion = north\nfailure-domain = north-1\n[listen]\naddress = " << host()
        << "\nhttp-port = " << httpPort << "\nlink-port = " << linkPort << "\nconnections = " << connections
        << "\n[platform]\nplatform-address = " << host() << ":" << readPort(portFile) << "\n";
    gateway_ = startProcess(
        binaries + "/rosemarylink-gateway", { "--settings", directory + "/gateway.ini" }, directory + "/gateway.log");
}

GatewayInstance::~GatewayInstance()
{
    for (const pid_t process : { gateway_, standIn_ }) {
        if (process == 0)
            continue;
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
}

std::string GatewayInstance::address() const { return host() + ":" + std::to_string(httpPort); }

std::string GatewayInstance::linkAddress() const { return host() + ":" + std::to_string(linkPort); }

bool GatewayInstance::running() const
{
    siginfo_t ended {};
    return ::waitid(P_PID, static_cast<id_t>(gateway_), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 && ended.si_pid == 0;
}

} // namespace rosemarylink::limits
