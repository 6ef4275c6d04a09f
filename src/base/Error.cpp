#include "rosemarylink/base/Error.h"

#include <utility>

namespace rosemarylink {

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "NotRun";
    case Verdict::Ran:
        return "Ran";
    case Verdict::MayHaveRun:
        return "MayHaveRun";
    }
    return "MayHaveRun";
}

std::optional<Verdict> parseVerdict(std::string_view name)
{
    for (Verdict verdict : { Verdict::NotRun, Verdict::Ran, Verdict::MayHaveRun }) {
        if (verdictName(verdict) == name)
            return verdict;
    }
    return std::nullopt;
}

std::string_view errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "InvalidArgument";
    case ErrorCode::NotFound:
        return "NotFound";
    case ErrorCode::Conflict:
        return "Conflict";
    case ErrorCode::Unauthenticated:
        return "Unauthenticated";
    case ErrorCode::PermissionDenied:
        return "PermissionDenied";
    case ErrorCode::ResourceExhausted:
        return "ResourceExhausted";
    case ErrorCode::DeadlineExceeded:
        return "DeadlineExceeded";
    case ErrorCode::Unavailable:
        return "Unavailable";
    case ErrorCode::Fenced:
        return "Fenced";
    case ErrorCode::Unsupported:
        return "Unsupported";
    case ErrorCode::Internal:
        return "Internal";
    }
    return "Internal";
}

std::ostream& operator<<(std::ostream& out, const Error& error)
{
    return out << errorCodeName(error.code) << ": " << error.message << " (" << verdictName(error.verdict) << ")";
}

Error makeError(ErrorCode code, std::string message)
{
    return Error { code, std::move(message), Verdict::NotRun, std::nullopt };
}

Error invalidArgument(std::string message) { return makeError(ErrorCode::InvalidArgument, std::move(message)); }

Error unavailable(std::string message, Verdict verdict)
{
    return Error { ErrorCode::Unavailable, std::move(message), verdict, std::nullopt };
}

} // namespace rosemarylink
