/** @file error.h Errors that carry the step at which they occurred and the peer involved. */
#pragma once

#include "step_type.h"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace flamingotally
{

/**
 * Creates an error.
 * @param code Status code of the error.
 * @param step Step at which the error occurred.
 * @param peer Name or address of the other side, or path of the file; empty when there is neither.
 * @param message Description of the error, for people.
 * @return A status whose payloads contain the name of the step and the peer.
 */
absl::Status makeError(absl::StatusCode code, Step step, std::string_view peer, std::string_view message);

/** Returns the step of an error; `Step::End` when the error carries no known step. */
Step stepOf(const absl::Status &status);

/** Returns the peer of an error; empty when the error carries no peer. */
std::string peerOf(const absl::Status &status);

/** Returns the message of an error, for people. */
inline std::string messageOf(const absl::Status &status)
{
    return std::string(status.message());
}

} // namespace flamingotally
