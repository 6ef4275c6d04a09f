#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/control/CommandLine.h"

#include <type_traits>
#include <utility>

namespace rosemarylink::control::internal {

// The reason why a command failed.
struct CommandFailure {
    ExitCode exitCode = ExitCode::Refused;
    Error error;
    std::string retryAdvice = "the same command can be repeated safely"; // printed when the request may have run
};

template <typename T>
using Outcome = boost::outcome_v2::basic_result<T, CommandFailure, boost::outcome_v2::policy::terminate>;

inline CommandFailure makeFailure(ExitCode exitCode, Error error)
{
    CommandFailure failure;
    failure.exitCode = exitCode;
    failure.error = std::move(error);
    return failure;
}

inline CommandFailure badInput(std::string message)
{
    return makeFailure(ExitCode::BadInput, invalidArgument(std::move(message)));
}

// Converts an error to exit code BadInput. For input such as files and times.
template <typename T> Outcome<T> checkedInput(Result<T> result)
{
    if (!result)
        return badInput(result.error().message);
    if constexpr (std::is_void_v<T>)
        return boost::outcome_v2::success();
    else
        return std::move(result).value();
}

} // namespace rosemarylink::control::internal
