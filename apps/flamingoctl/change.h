/** @file change.h Operators' changes: the version they are based on, and waiting until they are in force. */
#pragma once

#include "session.h"

#include <optional>
#include <string>

namespace flamingotally
{

/** What a change is based on. */
struct BaseVersion {
    ExitCode code = ExitCode::Ok; ///< Why it could not be read.
    std::uint64_t version = 0; ///< Zero for what never was.
    boost::json::value current; ///< What is there now; null for what never was.
};

/**
 * Reads what a change is based on.
 * @param session Its options may name the version that the operator saw.
 * @param path Path of the thing that is to be changed.
 */
BaseVersion readBase(Session &session, const std::string &path);

/** Makes a change and prints its offset and version; waits until it is in force everywhere when the options say so. */
ExitCode change(Session &session, const CtlCall &call);

} // namespace flamingotally
