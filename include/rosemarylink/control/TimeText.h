#pragma once

#include "rosemarylink/base/Error.h"

#include <string>

namespace rosemarylink::control {

// Formats a time as ISO 8601 in UTC with seconds, such as "2026-12-04T07:54:00Z".
std::string formatTime(Timestamp);

// Parses a time as formatted by formatTime, or a date, which stands for its start in UTC.
Result<Timestamp> parseTime(const std::string&);

// Formats a duration in the largest unit that leaves at least two digits, such as "850 ms", "12 s", "95 min" or "30 h".
std::string formatDuration(Milliseconds);

// Parses a whole number with a unit, such as "250ms", "30s", "5min", "2h" or "7d".
Result<Milliseconds> parseDuration(const std::string&);

} // namespace rosemarylink::control
