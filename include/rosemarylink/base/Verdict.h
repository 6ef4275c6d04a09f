#pragma once

#include <optional>
#include <string_view>

namespace rosemarylink {

// Whether a request has been executed, as far as the system can tell.
enum class Verdict {
    NotRun, // certain: no part of the request was sent, or the upstream refused it
    Ran, // certain: the response, or other proof of execution, was received
    MayHaveRun, // unknown: part of the request was sent, and no complete response was received
};

// The name on the wire and in logs: "NotRun", "Ran" or "MayHaveRun".
std::string_view verdictName(Verdict);

// Returns the verdict with that name, or nothing for an unknown name.
std::optional<Verdict> parseVerdict(std::string_view name);

} // namespace rosemarylink
