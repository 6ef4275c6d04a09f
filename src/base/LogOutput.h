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

// Limits the lines of each kind a second. Kinds are told apart by their sentence. Safe to use from several threads.
class LineBudget {
public:
    LineBudget(const Clock& clock, std::int64_t linesPerSecond)
        : clock_(clock)
        , linesPerSecond_(linesPerSecond)
    {
    }

    // True when a line of this kind may be written now.
    bool take(std::string_view kind);

    // Calls report for each kind of which lines were left out in a second that is over, and forgets these counts.
    void collect(const std::function<void(const std::string& kind, std::int64_t leftOut)>& report);

private:
    struct Second {
        Milliseconds begin { 0 };
        std::int64_t lines = 0;
        std::int64_t leftOut = 0;
    };

    const Clock& clock_;
    const std::int64_t linesPerSecond_;
    std::mutex mutex_;
    std::map<std::string, Second, std::less<>> kinds_;
    bool anyLeftOut_ = false;
};

// Writes whole lines to a descriptor without ever waiting for its reader: what a full pipe does not take is kept up to
// a capacity, and counted beyond it. Safe to use from several threads.
class LineWriter {
public:
    LineWriter(int descriptor, std::size_t capacity)
        : descriptor_(descriptor)
        , capacity_(capacity)
    {
    }

    // Keeps the line for the next flush; drops and counts it when the capacity is used up.
    void add(std::string_view line);

    // Writes what the descriptor takes now.
    void flush();

    // Lines that were dropped since the last call.
    std::int64_t takeDropped();

private:
    const int descriptor_;
    const std::size_t capacity_;
    std::mutex mutex_;
    std::string kept_;
    std::int64_t dropped_ = 0;
};

} // namespace rosemarylink::internal
