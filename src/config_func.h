/** @file config_func.h Functions shared by the commands that change the configuration. */
#pragma once

#include "command_func.h"

#include <string_view>

namespace flamingotally
{

/** A change of the configuration to add to the history. */
struct HistoryEntry {
    ChangeKind kind = ChangeKind::TeamSet;
    std::string_view subject; ///< Name of the changed team, key, profile or domain.
    std::uint64_t version = 0; ///< Version of the subject after the change.
    std::string detail; ///< Text of the subject at that version; may be empty.
};

/**
 * Tests whether an author may change the configuration.
 * @return `None` when the key is the bootstrap key or a granted operator's key that is not withdrawn, otherwise the
 * reason against it.
 */
Reason testAuthor(const Tables &tables, const Author &author);

/**
 * Adds a change to the history.
 * @return Result of the command that made the change, with the new version.
 */
CommandResult recordChange(Tables &tables, const RecordContext &context, const Author &author, HistoryEntry entry);

/** Returns the result of a command with a reason for its rejection; `None` if the command passed its test. */
inline CommandResult resultWith(Reason reason)
{
    CommandResult result;
    result.reason = reason;
    return result;
}

/** Finds a failure domain by its name, or creates it, in service, if it does not exist. */
DomainRef findOrCreateDomain(Tables &tables, const RecordContext &context, const std::string &name);

} // namespace flamingotally
