/** @file history_base.h Table of configuration changes, for operators. */
#pragma once

#include "core/table.h"
#include "core/time_type.h"

#include <string>

namespace flamingotally
{

struct HistoryTag;
using HistoryRef = Ref<HistoryTag>;

/** Kind of a configuration change. */
enum class ChangeKind : std::uint8_t {
    TeamSet,
    TeamDeleted,
    KeyGranted,
    KeyWithdrawn,
    ProfilePublished,
    ProfileDeleted,
    DomainOut,
    DomainIn,
    End,
};

/** One accepted change of the configuration. */
struct ConfigChange {
    ChangeKind kind = ChangeKind::TeamSet;
    std::string subject; ///< Name of the team, profile or domain, or label of the key.
    std::uint64_t version = 0; ///< Version of the subject after the change.
    std::string author; ///< Label of the operator's key.
    std::uint64_t offset = 0; ///< Offset of the record.
    LogTime at{}; ///< Time of the record.
    std::string detail; ///< Text of the subject at this version, for diff and rollback; may be empty.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(kind, subject, version, author, offset, at, detail);
    }
};

/** Changes are in the order of the log only until the oldest rows are deleted and their indexes reused. */
using HistoryTable = Table<HistoryTag, ConfigChange>;

} // namespace flamingotally
