#include "LogOutput.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rosemarylink::internal {

namespace {

    constexpr Milliseconds windowLength { 1000 };

    // The source has fewer distinct sentences than this. The limit keeps sentences that are composed at run time from
    // growing the map without bound.
    constexpr std::size_t maximumSentences = 500;
    constexpr std::string_view otherSentences = "(other)";

} // namespace

bool LogRateLimiter::allow(std::string_view sentence)
{
    const Milliseconds now = clock_.monotonic();
    const std::lock_guard lock(mutex_);
    auto position = windows_.find(sentence);
    if (position == windows_.end())
        position
            = windows_.emplace(windows_.size() < maximumSentences ? sentence : otherSentences, Window { now }).first;
    Window& window = position->second;
    // A window with suppressed lines is kept until reportSuppressed() has reported them.
    if (now - window.begin >= windowLength && window.suppressed == 0)
        window = { now };
    if (window.lines < linesPerSecond_) {
        ++window.lines;
        return true;
    }
    ++window.suppressed;
    anySuppressed_ = true;
    return false;
}

void LogRateLimiter::reportSuppressed(const std::function<void(const std::string&, std::int64_t)>& report)
{
    const Milliseconds now = clock_.monotonic();
    std::vector<std::pair<std::string, std::int64_t>> ended;
    {
        const std::lock_guard lock(mutex_);
        if (!anySuppressed_)
            return;
        anySuppressed_ = false;
        for (auto& [sentence, window] : windows_) {
            if (window.suppressed == 0)
                continue;
            if (now - window.begin < windowLength) {
                anySuppressed_ = true;
                continue;
            }
            ended.emplace_back(sentence, window.suppressed);
            window = { now };
        }
    }
    for (const auto& [sentence, suppressed] : ended)
        report(sentence, suppressed);
}

void NonBlockingLineWriter::add(std::string_view line)
{
    const std::lock_guard lock(mutex_);
    if (buffer_.size() + line.size() + 1 > capacity_) {
        ++dropped_;
        return;
    }
    buffer_ += line;
    buffer_ += '\n';
}

void NonBlockingLineWriter::flush()
{
    const std::lock_guard lock(mutex_);
    std::size_t written = 0;
    while (written < buffer_.size()) {
        pollfd state { descriptor_, POLLOUT, 0 };
        if (::poll(&state, 1, 0) < 1)
            break;
        // A pipe that polls as writable accepts up to PIPE_BUF bytes without blocking.
        const std::size_t size = std::min<std::size_t>(PIPE_BUF, buffer_.size() - written);
        const ssize_t result = ::write(descriptor_, buffer_.data() + written, size);
        if (result < 0) {
            // The error cannot be logged, since the log itself failed; the buffer is discarded.
            written = buffer_.size();
            ++dropped_;
            break;
        }
        written += static_cast<std::size_t>(result);
    }
    buffer_.erase(0, written);
}

std::int64_t NonBlockingLineWriter::takeDropped()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(dropped_, 0);
}

} // namespace rosemarylink::internal
