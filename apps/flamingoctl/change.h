/** @file change.h Changes by operators: the version that a change is based on, and waiting until it is in effect. */
#pragma once

#include "session.h"

#include <optional>
#include <string>

namespace flamingotally
{

/** Current state of the object that a change modifies. */
struct BaseVersion {
    ExitCode code = ExitCode::Ok; ///< Reason why the object could not be read; `Ok` also when it does not exist.
    std::uint64_t version = 0; ///< Version to send with the change; zero when the object has never existed.
    boost::json::value current; ///< The object as read; null when it has never existed.
};

/**
 * Reads the object that a change modifies. Prints an error when that fails.
 * @param session The expected version in its options, if set, replaces the version read.
 * @param path HTTP path of the object.
 */
BaseVersion readBase(Session &session, const std::string &path);

/**
 * Sends a change and prints its log offset and version. With the option `--wait-everywhere`, also waits until the
 * change is in effect on all daemons.
 */
ExitCode applyChange(Session &session, const CtlRequest &request);

} // namespace flamingotally
