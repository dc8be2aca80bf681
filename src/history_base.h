/** @file history_base.h Table of configuration changes, for operators. */
#pragma once

#include "core/table.h"
#include "core/time_type.h"

#include <string>

namespace flamingotally
{

struct HistoryTag;
using HistoryRef = Ref<HistoryTag>;

/** What a configuration change was about. */
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

/** One accepted change. */
struct ConfigChange {
    ChangeKind kind = ChangeKind::TeamSet;
    std::string subject; ///< Name of the team, key, profile or domain.
    std::uint64_t version = 0; ///< Version it has since.
    std::string author; ///< Label of the operator's key.
    std::uint64_t offset = 0; ///< Offset of the record.
    LogTime at{};
    std::string detail; ///< Its text at this version, for diff and rollback. Empty where there is none.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(kind, subject, version, author, offset, at, detail);
    }
};

/** Rows stay in the order of the log until the oldest are dropped. */
using HistoryTable = Table<HistoryTag, ConfigChange>;

} // namespace flamingotally
