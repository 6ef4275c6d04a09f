#pragma once

#include "rosemarylink/base/Units.h"

#include <functional>
#include <string>
#include <sys/types.h>

namespace rosemarylink::limits {

// One HTTP request on a connection of its own.
struct ProbeRequest {
    std::string address; // "IP:port"
    std::string method;
    std::string target;
    std::string body;
    std::string key = "key"; // API key
};

struct ProbeResponse {
    int status = 0; // 0 if there was no response within 3 s
    std::string body;
};

ProbeResponse send(const ProbeRequest&);

// The resources that a process uses, as the kernel reports them.
struct Usage {
    long residentPeakKb = 0;
    long queuedPeakKb = 0; // received and not read, or sent and not acknowledged, on connections to the address
    long descriptorPeak = 0;

    // The address is "IP:port" of a server of the process.
    void observe(pid_t process, const std::string& address);
};

// Repeats the attempt until it succeeds; returns false if it does not within a minute or the process is no longer
// running.
bool succeeds(const std::function<bool()>& attempt, const std::function<bool()>& running);

// Sends the request; an attempt succeeds if its response has a status of 200 to 299.
bool isServed(const ProbeRequest&);

} // namespace rosemarylink::limits
