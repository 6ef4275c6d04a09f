#include "LogOutput.h"

#include <catch2/catch.hpp>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace rosemarylink::internal {
namespace {

    struct Pipe {
        Pipe() { REQUIRE(::pipe(ends.data()) == 0); }
        ~Pipe()
        {
            for (const int end : ends)
                ::close(end);
        }

        std::string read()
        {
            ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
            std::string text;
            std::array<char, 4096> buffer {};
            for (ssize_t size = 0; (size = ::read(ends[0], buffer.data(), buffer.size())) > 0;)
                text.append(buffer.data(), static_cast<std::size_t>(size));
            return text;
        }

        std::array<int, 2> ends {};
    };

    // Guards against a process that blocks because its log is not read.
    TEST_CASE("writing does not block when the reader stops, and lost lines are counted")
    {
        Pipe pipe;
        constexpr std::size_t capacity = 10000;
        NonBlockingLineWriter writer(pipe.ends[1], capacity);
        const std::string line(99, 'x');
        constexpr int lines = 20000; // 2 MB, far more than a pipe holds
        for (int number = 0; number < lines; ++number) {
            writer.add(line);
            writer.flush();
        }
        const std::int64_t dropped = writer.takeDropped();
        CHECK(dropped > 0);
        CHECK(writer.takeDropped() == 0);
        std::string text;
        for (std::string part; !(part = pipe.read()).empty(); writer.flush())
            text += part;
        // Only whole lines are lost.
        CHECK(text.size() == (lines - static_cast<std::size_t>(dropped)) * (line.size() + 1));
    }

    TEST_CASE("lines are dropped and counted when the reader has closed the pipe")
    {
        std::signal(SIGPIPE, SIG_IGN);
        Pipe pipe;
        ::close(std::exchange(pipe.ends[0], ::open("/dev/null", O_RDONLY)));
        NonBlockingLineWriter writer(pipe.ends[1], 1000);
        writer.add("lost");
        writer.flush();
        CHECK(writer.takeDropped() > 0);
    }

    // Guards against one sentence that fills the log, and against suppressing lines without a trace.
    TEST_CASE("each sentence has its own limit per second, and suppressed lines are counted")
    {
        ManualClock clock;
        LogRateLimiter limiter(clock, 3);
        const auto suppressed = [&limiter] {
            std::map<std::string, std::int64_t> found;
            limiter.reportSuppressed(
                [&found](const std::string& sentence, std::int64_t count) { found[sentence] = count; });
            return found;
        };
        int written = 0;
        for (int number = 0; number < 10; ++number)
            written += limiter.allow("Call failed") ? 1 : 0;
        CHECK(written == 3);
        CHECK(limiter.allow("Job accepted"));
        CHECK(suppressed().empty());
        clock.advance(Milliseconds(1000));
        CHECK(suppressed() == std::map<std::string, std::int64_t> { { "Call failed", 7 } });
        CHECK(suppressed().empty());
        CHECK(limiter.allow("Call failed"));
    }

    TEST_CASE("sentences that are composed at run time do not grow the memory of the rate limiter without bound")
    {
        ManualClock clock;
        LogRateLimiter limiter(clock, 3);
        int written = 0;
        for (int number = 0; number < 10000; ++number)
            written += limiter.allow("reason " + std::to_string(number)) ? 1 : 0;
        CHECK(written < 1000);
    }

} // namespace
} // namespace rosemarylink::internal
