/** @file error.h Errors that carry the step and the peer at which they arose. */
#pragma once

#include "step_type.h"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace flamingotally
{

/**
 * Makes an error.
 * @param code The kind of error.
 * @param step The step at which it arose.
 * @param peer Name or address of the other side; empty when there is none.
 * @param message What happened, for people.
 */
absl::Status makeError(absl::StatusCode code, Step step, std::string_view peer, std::string_view message);

/** Step of an error; `Step::End` when it bears none. */
Step stepOf(const absl::Status &status);

/** Peer of an error; empty when it bears none. */
std::string peerOf(const absl::Status &status);

/** Message of an error, for people. */
inline std::string messageOf(const absl::Status &status)
{
    return std::string(status.message());
}

} // namespace flamingotally
