#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <glog/logging.h>

namespace rosemarylink::jobs {

namespace {

    // Counts the log lines that contain a text.
    class LineCounter final : public google::LogSink {
    public:
        explicit LineCounter(std::string text)
            : text_(std::move(text))
        {
            google::AddLogSink(this);
        }
        ~LineCounter() override { google::RemoveLogSink(this); }
        LineCounter(const LineCounter&) = delete;
        LineCounter& operator=(const LineCounter&) = delete;

        void send(google::LogSeverity, const char*, const char*, int, const google::LogMessageTime&,
            const char* message, std::size_t length) override
        {
            lines += std::string(message, length).find(text_) != std::string::npos ? 1 : 0;
        }

        int lines = 0;

    private:
        std::string text_;
    };

} // namespace

// Guards against an entry that nobody learns of, against a log line per second for it, and against work that stops
// because of it.
TEST_CASE("each refused entry of a worker is logged once and the work goes on")
{
    SimCluster cluster(1);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(3000));
    LineCounter refusals("Entry of a worker is refused");
    for (int number = 0; number < 20; ++number)
        cluster.store.put("workers/odd" + std::to_string(number), std::string(static_cast<std::size_t>(number), '['));
    REQUIRE(cluster.submit("batch", "a1", oneStep(4, 1, Milliseconds(500), /*gang=*/false)).outcome
        == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(10000));
    REQUIRE(refusals.lines == 20);
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

} // namespace rosemarylink::jobs
