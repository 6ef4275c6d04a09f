#pragma once

#include "rosemarylink/base/Clock.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>

namespace rosemarylink {

// Maximum log lines per second for each sentence. At about 15 us per line, ten sentences at this rate take 1.5% of a
// core.
constexpr std::int64_t maximumLinesPerSecond = 100;

// One key=value pair of a log line.
struct LogField {
    template <typename T>
    LogField(std::string_view fieldKey, const T& fieldValue)
        : key(fieldKey)
    {
        std::ostringstream out;
        out << std::boolalpha << fieldValue;
        value = out.str();
    }

    std::string key;
    std::string value;
};

using LogFields = std::initializer_list<LogField>;

// Logs short sentences with the prefix of one part of the system through glog: "[cells] takeover finished cell=amman".
// Authentication keys and request bodies must never be passed to it. At most maximumLinesPerSecond lines are written
// for each sentence; further ones are suppressed, and their count is logged. Safe to use from several threads.
class Logger {
public:
    explicit Logger(std::string_view part)
        : part_(part)
    {
    }

    void info(std::string_view sentence, LogFields = {}) const;
    void warning(std::string_view sentence, LogFields = {}) const;
    void error(std::string_view sentence, LogFields = {}) const;

private:
    std::string part_;
};

// Logs the first occurrence of each condition at once. Later occurrences are logged at most once per interval, as one
// line with the number of suppressed ones. The number of distinct conditions must be small and fixed. Safe to use from
// several threads.
class RepeatedLog {
public:
    RepeatedLog(std::string_view part, const Clock&, Milliseconds interval);

    void warning(const std::string& condition);

private:
    struct State {
        Milliseconds lastLogged { 0 };
        std::int64_t suppressed = 0;
    };

    Logger logger_;
    const Clock& clock_;
    Milliseconds interval_;
    std::mutex mutex_;
    std::map<std::string, State> states_;
};

// Initializes glog to log to standard error. Call one overload once, in main.
void startLogging(const char* binary);

// Initializes glog to log to a descriptor without blocking: lines that its reader has not read are buffered up to 256
// KiB, and dropped and counted beyond that. Warnings and errors are written at once, other lines by flushLog(). The
// descriptor must stay open.
void startLogging(const char* binary, int descriptor);

// Writes the buffered lines, and logs the counts of suppressed and dropped ones. Call it periodically. Does nothing
// when the log goes to standard error.
void flushLog();

} // namespace rosemarylink
