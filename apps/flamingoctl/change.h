/** @file change.h Changes by operators: reads the version that a change is based on, and sends the change. */
#pragma once

#include "session.h"

#include <optional>
#include <string>

namespace flamingotally
{

/** Current state of the object that a change modifies. */
struct BaseVersion {
    ExitCode code = ExitCode::Ok; ///< Failure to read the object; `Ok` also when the object does not exist.
    std::uint64_t version = 0; ///< Version to send with the change; zero when the object has never existed.
    boost::json::value current; ///< The object as JSON; null when the object has never existed.
};

/**
 * Reads the object that a change modifies. Prints an error when the object cannot be read.
 * @param session The command's session; its option `--expected-version`, if given, replaces the version that was read.
 * @param path HTTP path of the object.
 */
BaseVersion readBase(Session &session, const std::string &path);

/**
 * Sends a change and prints its log offset and version. With the option `--wait-everywhere`, also waits until the
 * change is in effect on all daemons.
 */
ExitCode applyChange(Session &session, const CtlRequest &request);

} // namespace flamingotally
