#pragma once

#include "rosemarylink/base/Units.h"
#include "rosemarylink/reactor/HttpMessage.h"

#include <cstddef>
#include <limits>

namespace rosemarylink::reactor {

// Limits of a server on what its clients may hold. The defaults limit only the size of a message.
struct ConnectionLimits {
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    MessageLimits message;
    std::size_t connections = unlimited; // open at once
    // Bytes of all connections that are received and not handled, or not yet accepted by the kernel for sending.
    std::size_t bufferedBytes = unlimited;
    // Estimated memory of all requests in progress; see ConnectionBudget::requestCost().
    std::size_t requestBytes = unlimited;
    std::size_t kernelBufferBytes = 0; // kernel's receive buffer of a connection; 0 is the kernel's default
    std::size_t kernelSendBufferBytes = 0; // the same for its send buffer
    // A request head must be complete within this time of its first byte. Later the request must arrive at
    // minimumBytesPerSecond, averaged over each progressInterval. 0 means no limit.
    Milliseconds headTimeout { 0 };
    std::size_t minimumBytesPerSecond = 4096;
    // A connection is closed when its client has read nothing of a response for this long. 0 means no limit.
    Milliseconds responseTimeout { 0 };

    static constexpr Milliseconds progressInterval { 5000 };
};

// Returns the limits of the server for callers on a machine with this memory and this number of file descriptors; 0
// means that the value is not known and limits nothing. Without a known memory only the connections are limited.
ConnectionLimits callerLimitsFor(std::size_t memoryMb, std::size_t fileDescriptors);

// Returns the limits of the gateway's server, whose requests may be larger and take longer than a submission.
ConnectionLimits gatewayLimitsFor(std::size_t memoryMb, std::size_t openConnections, std::size_t bodyBytes);

// Returns the limits of a server for the operators' own clients (readiness checks, metrics scrapes), which are few and
// whose requests have no bodies. They are a small part of what callerLimitsFor() leaves.
ConnectionLimits operatorLimits();

} // namespace rosemarylink::reactor
