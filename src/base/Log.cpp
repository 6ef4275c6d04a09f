#include "rosemarylink/base/Log.h"

#include "LogOutput.h"

#include <glog/logging.h>

#include <memory>

namespace rosemarylink {

namespace {

    // Holds a few seconds of the log of a busy cell owner.
    constexpr std::size_t logBufferBytes = 256 * 1024;

    // Passes glog's lines to a descriptor without blocking.
    class DescriptorSink final : public google::LogSink {
    public:
        explicit DescriptorSink(int descriptor)
            : writer_(descriptor, logBufferBytes)
        {
        }

        void send(google::LogSeverity severity, const char* /*path*/, const char* file, int line,
            const google::LogMessageTime& time, const char* message, std::size_t length) override
        {
            writer_.add(ToString(severity, file, line, time, message, length));
            if (severity >= google::GLOG_WARNING)
                writer_.flush();
        }

        internal::NonBlockingLineWriter& writer() { return writer_; }

    private:
        internal::NonBlockingLineWriter writer_;
    };

    std::unique_ptr<DescriptorSink>& sink()
    {
        static std::unique_ptr<DescriptorSink> instance;
        return instance;
    }

    internal::LogRateLimiter& rateLimiter()
    {
        static const SystemClock clock;
        static internal::LogRateLimiter instance(clock, maximumLinesPerSecond);
        return instance;
    }

    std::string formatLine(const std::string& part, std::string_view sentence, LogFields fields)
    {
        std::string line = "[" + part + "] ";
        line += sentence;
        for (const LogField& field : fields)
            line += " " + field.key + "=" + field.value;
        return line;
    }

    void reportSuppressedLines()
    {
        rateLimiter().reportSuppressed([](const std::string& sentence, std::int64_t suppressed) {
            LOG(WARNING) << formatLine(
                "log", "Log lines suppressed by the rate limit", { { "count", suppressed }, { "sentence", sentence } });
        });
    }

    bool shouldLog(std::string_view sentence)
    {
        reportSuppressedLines();
        return rateLimiter().allow(sentence);
    }

} // namespace

void Logger::info(std::string_view sentence, LogFields fields) const
{
    if (shouldLog(sentence))
        LOG(INFO) << formatLine(part_, sentence, fields);
}

void Logger::warning(std::string_view sentence, LogFields fields) const
{
    if (shouldLog(sentence))
        LOG(WARNING) << formatLine(part_, sentence, fields);
}

void Logger::error(std::string_view sentence, LogFields fields) const
{
    if (shouldLog(sentence))
        LOG(ERROR) << formatLine(part_, sentence, fields);
}

RepeatedLog::RepeatedLog(std::string_view part, const Clock& clock, Milliseconds interval)
    : logger_(part)
    , clock_(clock)
    , interval_(interval)
{
}

void RepeatedLog::warning(const std::string& condition)
{
    const std::lock_guard lock(mutex_);
    const Milliseconds now = clock_.monotonic();
    const auto [position, first] = states_.try_emplace(condition);
    State& state = position->second;
    if (!first && now - state.lastLogged < interval_) {
        ++state.suppressed;
        return;
    }
    if (state.suppressed > 0)
        logger_.warning(condition, { { "repeated", state.suppressed } });
    else
        logger_.warning(condition);
    state = { now, 0 };
}

void startLogging(const char* binary)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(binary);
}

void startLogging(const char* binary, int descriptor)
{
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    google::InitGoogleLogging(binary);
    for (const google::LogSeverity severity : { google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR })
        google::SetLogDestination(severity, ""); // no files
    sink() = std::make_unique<DescriptorSink>(descriptor);
    google::AddLogSink(sink().get());
}

void flushLog()
{
    if (!sink())
        return;
    reportSuppressedLines();
    sink()->writer().flush();
    if (const std::int64_t dropped = sink()->writer().takeDropped(); dropped > 0)
        LOG(WARNING) << formatLine("log", "Lines were lost because the log was not read", { { "count", dropped } });
}

} // namespace rosemarylink
