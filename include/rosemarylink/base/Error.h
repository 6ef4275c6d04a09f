#pragma once

#include "rosemarylink/base/Units.h"
#include "rosemarylink/base/Verdict.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <optional>
#include <ostream>
#include <string>

namespace rosemarylink {

enum class ErrorCode {
    InvalidArgument, // the input is invalid; a retry will not help
    NotFound,
    Conflict, // another writer was first
    Unauthenticated, // the key is missing or unknown
    PermissionDenied, // the key is known, but not allowed to do this
    ResourceExhausted, // a limit or queue is full; retry later
    DeadlineExceeded,
    Unavailable, // a peer or the store cannot be reached
    Fenced, // a later owner has taken over the cell
    Unsupported, // the record has a version that this process does not support
    Internal,
};

// The name on the wire and in logs, such as "InvalidArgument".
std::string_view errorCodeName(ErrorCode);

// A failure, and its consequence for the request that failed.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message; // human-readable: what is wrong, where, and what is allowed
    Verdict verdict = Verdict::NotRun;
    std::optional<Milliseconds> retryAfter = std::nullopt; // the delay before a retry
};

std::ostream& operator<<(std::ostream&, const Error&);

// A value or an Error. Reading the value of a failed result terminates the process.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

using Status = Result<void>;

inline Status okStatus() { return boost::outcome_v2::success(); }

// Makes an error with the verdict NotRun.
Error makeError(ErrorCode, std::string message);

// Makes an error with the code InvalidArgument and the verdict NotRun.
Error invalidArgument(std::string message);

// Makes an error with the code Unavailable.
Error unavailable(std::string message, Verdict);

} // namespace rosemarylink
