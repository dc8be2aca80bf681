/** @file config_func.h What the commands that change the configuration share. */
#pragma once

#include "command_func.h"

#include <string_view>

namespace flamingotally
{

/** A change of the configuration, about to be entered into the history. */
struct ChangeNote {
    ChangeKind kind = ChangeKind::TeamSet;
    std::string_view subject; ///< Name of what changes.
    std::uint64_t version = 0; ///< Version that it gets.
    std::string detail; ///< Its text at that version.
};

/**
 * Judges whether an author may change the configuration.
 * @return `None` when the key is the bootstrap key, or an operator's that is granted at this offset.
 */
Reason testAuthor(const Tables &tables, const Author &author);

/**
 * Enters a change into the history.
 * @return The result of the command that made it.
 */
CommandResult noteChange(Tables &tables, const RecordContext &context, const Author &author, ChangeNote note);

/** Result of a command that failed its test. */
inline CommandResult rejected(Reason reason)
{
    CommandResult result;
    result.reason = reason;
    return result;
}

/** Address of a failure domain, created in service when it is new. */
DomainRef domainNamed(Tables &tables, const RecordContext &context, const std::string &name);

} // namespace flamingotally
