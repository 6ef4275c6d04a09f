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

    // Guards against a process that stands still because nobody reads its log.
    TEST_CASE("a reader that stops reading delays no line, and what it misses is counted")
    {
        Pipe pipe;
        constexpr std::size_t capacity = 10000;
        LineWriter writer(pipe.ends[1], capacity);
        const std::string line(99, 'x');
        constexpr int lines = 20000; // 2 MB, far more than a pipe takes
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
        // Lines are lost whole or not at all.
        CHECK(text.size() == (lines - static_cast<std::size_t>(dropped)) * (line.size() + 1));
    }

    TEST_CASE("a log whose reader has gone is dropped and counted")
    {
        std::signal(SIGPIPE, SIG_IGN);
        Pipe pipe;
        ::close(std::exchange(pipe.ends[0], ::open("/dev/null", O_RDONLY)));
        LineWriter writer(pipe.ends[1], 1000);
        writer.add("lost");
        writer.flush();
        CHECK(writer.takeDropped() > 0);
    }

    // Guards against a flood of one kind of line, and against a flood that nobody sees because it was cut silently.
    TEST_CASE("each kind of line has its own budget a second, and the rest is counted")
    {
        ManualClock clock;
        LineBudget budget(clock, 3);
        const auto leftOut = [&budget] {
            std::map<std::string, std::int64_t> found;
            budget.collect([&found](const std::string& kind, std::int64_t count) { found[kind] = count; });
            return found;
        };
        int written = 0;
        for (int number = 0; number < 10; ++number)
            written += budget.take("Call failed") ? 1 : 0;
        CHECK(written == 3);
        CHECK(budget.take("Job accepted"));
        CHECK(leftOut().empty());
        clock.advance(Milliseconds(1000));
        CHECK(leftOut() == std::map<std::string, std::int64_t> { { "Call failed", 7 } });
        CHECK(leftOut().empty());
        CHECK(budget.take("Call failed"));
    }

    TEST_CASE("kinds that are made at run time do not grow the budget's memory")
    {
        ManualClock clock;
        LineBudget budget(clock, 3);
        int written = 0;
        for (int number = 0; number < 10000; ++number)
            written += budget.take("reason " + std::to_string(number)) ? 1 : 0;
        CHECK(written < 1000);
    }

} // namespace
} // namespace rosemarylink::internal
