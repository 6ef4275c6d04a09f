#include "rosemarylink/reactor/ConnectionLimits.h"

#include <algorithm>

namespace rosemarylink::reactor {

namespace {

    constexpr std::size_t kilobyte = 1024;
    constexpr std::size_t megabyte = 1024 * kilobyte;

    // The platform's limits on callers (MaxHeaderBytes and MaxBodyBytes).
    constexpr std::size_t callerHeaderBytes = 16 * kilobyte;
    constexpr std::size_t callerBodyBytes = 256 * kilobyte;

    // Received bytes and requests in progress may each take an eighth of the memory, as may the requested size of the
    // kernel's receive buffers; Linux doubles it. The rest is for the process itself, most of all for an owner.
    constexpr std::size_t shareOfMemory = 8;

    // Larger kernel buffers would need fewer connections to stay within their share; smaller ones make a large body
    // slow to arrive from another region.
    constexpr std::size_t kernelBufferBytes = 16 * kilobyte;

    // Responses to callers have some hundred bytes.
    constexpr std::size_t callerSendBufferBytes = 4 * kilobyte;

    constexpr std::size_t gatewayKernelBufferBytes = 32 * kilobyte;

    // Descriptors of the process itself: 200 files, 3.5 connections to each of 350 workers, and connections to the
    // store, of readiness checks and of metrics scrapes.
    constexpr std::size_t ownDescriptors = 200 + 350 * 7 / 2 + 175;

    constexpr Milliseconds headTimeout { 10000 };
    constexpr Milliseconds responseTimeout { 30000 };

    constexpr std::size_t operatorConnections = 64;

} // namespace

ConnectionLimits callerLimitsFor(std::size_t memoryMb, std::size_t fileDescriptors)
{
    ConnectionLimits limits;
    if (fileDescriptors > 0)
        limits.connections = fileDescriptors - std::min(ownDescriptors, fileDescriptors / 2);
    if (memoryMb == 0)
        return limits;
    const std::size_t share = memoryMb * megabyte / shareOfMemory;
    limits.message = { callerHeaderBytes, callerBodyBytes };
    limits.connections = std::min(limits.connections, std::max<std::size_t>(1, share / kernelBufferBytes));
    limits.bufferedBytes = share;
    limits.requestBytes = share;
    limits.kernelBufferBytes = kernelBufferBytes;
    limits.kernelSendBufferBytes = callerSendBufferBytes;
    limits.headTimeout = headTimeout;
    limits.responseTimeout = responseTimeout;
    return limits;
}

ConnectionLimits gatewayLimitsFor(std::size_t memoryMb, std::size_t openConnections, std::size_t bodyBytes)
{
    ConnectionLimits limits;
    limits.message = { callerHeaderBytes, bodyBytes };
    limits.connections = openConnections;
    limits.bufferedBytes = memoryMb * megabyte / shareOfMemory;
    limits.requestBytes = memoryMb * megabyte / shareOfMemory * 2;
    limits.kernelBufferBytes = gatewayKernelBufferBytes;
    limits.kernelSendBufferBytes = gatewayKernelBufferBytes;
    limits.headTimeout = headTimeout;
    limits.responseTimeout = responseTimeout;
    return limits;
}

ConnectionLimits operatorLimits()
{
    ConnectionLimits limits;
    limits.message = { callerHeaderBytes, callerHeaderBytes };
    limits.connections = operatorConnections;
    limits.bufferedBytes = 4 * megabyte;
    limits.requestBytes = 4 * megabyte;
    limits.kernelBufferBytes = kernelBufferBytes;
    limits.kernelSendBufferBytes = kernelBufferBytes;
    limits.headTimeout = headTimeout;
    limits.responseTimeout = responseTimeout;
    return limits;
}

} // namespace rosemarylink::reactor
