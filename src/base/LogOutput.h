#pragma once

#include "rosemarylink/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace rosemarylink::internal {

// Limits the number of log lines per second for each sentence. Safe to use from several threads.
class LogRateLimiter {
public:
    LogRateLimiter(const Clock& clock, std::int64_t linesPerSecond)
        : clock_(clock)
        , linesPerSecond_(linesPerSecond)
    {
    }

    // Returns true when a line with this sentence may be written now; otherwise counts it as suppressed.
    bool allow(std::string_view sentence);

    // Calls report for each sentence with suppressed lines in a window that has ended, and resets those counts.
    void reportSuppressed(const std::function<void(const std::string& sentence, std::int64_t suppressed)>& report);

private:
    // The line counts of one sentence in its current window of one second.
    struct Window {
        Milliseconds begin { 0 };
        std::int64_t lines = 0;
        std::int64_t suppressed = 0;
    };

    const Clock& clock_;
    const std::int64_t linesPerSecond_;
    std::mutex mutex_;
    std::map<std::string, Window, std::less<>> windows_;
    bool anySuppressed_ = false;
};

// Writes whole lines to a descriptor without blocking. Lines that a full pipe does not accept are buffered up to a
// capacity in bytes, and dropped and counted beyond it. Safe to use from several threads.
class NonBlockingLineWriter {
public:
    NonBlockingLineWriter(int descriptor, std::size_t capacity)
        : descriptor_(descriptor)
        , capacity_(capacity)
    {
    }

    // Buffers the line for the next flush, or drops and counts it when the buffer is full.
    void add(std::string_view line);

    // Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    // Returns the number of lines dropped since the last call.
    std::int64_t takeDropped();

private:
    const int descriptor_;
    const std::size_t capacity_;
    std::mutex mutex_;
    std::string buffer_;
    std::int64_t dropped_ = 0;
};

} // namespace rosemarylink::internal
