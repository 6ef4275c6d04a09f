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

// At some 15 us a line, ten busy sentences at this rate take 1.5% of a core.
constexpr std::int64_t linesPerSecondOfKind = 100;

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

// Writes short sentences with the prefix of one part of the system through glog: "[cells] takeover finished
// cell=amman". Keys and request bodies must never be passed to it. Of each sentence at most linesPerSecondOfKind are
// written a second; the rest is counted, and the count logged.
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

// Logs the first occurrence of each condition at once and later ones as one line with their count at most once per
// interval. The number of distinct conditions must be small and fixed.
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

// Starts glog on standard error for this binary; call once in main.
void startLogging(const char* binary);

// Starts glog on a descriptor that is never waited for: what its reader leaves unread is kept up to 256 KiB, and
// counted beyond that. Warnings and errors are written at once, the rest by flushLog().
void startLogging(const char* binary, int descriptor);

// Writes the lines that are kept, and the counts of those that were left out. Does nothing on standard error.
void flushLog();

} // namespace rosemarylink
