#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/control/CommandLine.h"

#include <type_traits>
#include <utility>

namespace rosemarylink::control::internal {

// Why a command ends without success.
struct CommandFailure {
    ExitCode exitCode = ExitCode::Refused;
    Error error;
    std::string repetition = "the same command can be repeated safely"; // advice when the request may have run
};

template <typename T>
using Outcome = boost::outcome_v2::basic_result<T, CommandFailure, boost::outcome_v2::policy::terminate>;

inline CommandFailure failureOf(ExitCode exitCode, Error error)
{
    CommandFailure failure;
    failure.exitCode = exitCode;
    failure.error = std::move(error);
    return failure;
}

inline CommandFailure badInput(std::string message)
{
    return failureOf(ExitCode::BadInput, invalidArgument(std::move(message)));
}

// The value of a result whose failure means bad input, such as a malformed file or time.
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
