#include "LogOutput.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rosemarylink::internal {

namespace {

    constexpr Milliseconds budgetPeriod { 1000 };

    // Sentences are literals of the source, fewer than this. A sentence made at run time must not grow the map.
    constexpr std::size_t mostKinds = 500;
    constexpr std::string_view otherKinds = "(other)";

} // namespace

bool LineBudget::take(std::string_view kind)
{
    const Milliseconds now = clock_.monotonic();
    const std::lock_guard lock(mutex_);
    auto position = kinds_.find(kind);
    if (position == kinds_.end())
        position = kinds_.emplace(kinds_.size() < mostKinds ? kind : otherKinds, Second { now }).first;
    Second& second = position->second;
    // A second with lines left out ends when collect() has reported them.
    if (now - second.begin >= budgetPeriod && second.leftOut == 0)
        second = { now };
    if (second.lines < linesPerSecond_) {
        ++second.lines;
        return true;
    }
    ++second.leftOut;
    anyLeftOut_ = true;
    return false;
}

void LineBudget::collect(const std::function<void(const std::string&, std::int64_t)>& report)
{
    const Milliseconds now = clock_.monotonic();
    std::vector<std::pair<std::string, std::int64_t>> found;
    {
        const std::lock_guard lock(mutex_);
        if (!anyLeftOut_)
            return;
        anyLeftOut_ = false;
        for (auto& [kind, second] : kinds_) {
            if (second.leftOut == 0)
                continue;
            if (now - second.begin < budgetPeriod) {
                anyLeftOut_ = true;
                continue;
            }
            found.emplace_back(kind, second.leftOut);
            second = { now };
        }
    }
    for (const auto& [kind, leftOut] : found)
        report(kind, leftOut);
}

void LineWriter::add(std::string_view line)
{
    const std::lock_guard lock(mutex_);
    if (kept_.size() + line.size() + 1 > capacity_) {
        ++dropped_;
        return;
    }
    kept_ += line;
    kept_ += '\n';
}

void LineWriter::flush()
{
    const std::lock_guard lock(mutex_);
    std::size_t written = 0;
    while (written < kept_.size()) {
        pollfd state { descriptor_, POLLOUT, 0 };
        if (::poll(&state, 1, 0) < 1)
            break;
        // A pipe that is ready takes this much without blocking.
        const std::size_t size = std::min<std::size_t>(PIPE_BUF, kept_.size() - written);
        const ssize_t result = ::write(descriptor_, kept_.data() + written, size);
        if (result < 0) {
            // Nobody can be told: the log itself is broken.
            written = kept_.size();
            ++dropped_;
            break;
        }
        written += static_cast<std::size_t>(result);
    }
    kept_.erase(0, written);
}

std::int64_t LineWriter::takeDropped()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(dropped_, 0);
}

} // namespace rosemarylink::internal
