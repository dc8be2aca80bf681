/** @file team_use_base.h The owner's table of the past use of teams. */
#pragma once

#include "core/table.h"
#include "dispatch/journal_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>

namespace flamingotally::dispatch
{

struct TeamUseTag;
using TeamUseRef = Ref<TeamUseTag>;

/** Name of a team that has used resources. */
struct TeamUseIdentity {
    std::string team;
};

/** Past use of a team. */
struct UseAverage {
    double cores = 0; ///< Decaying average of its use over all time, as of PastUse::updatedAt.
};

using TeamUseTable = Table<TeamUseTag, TeamUseIdentity, UseAverage>;

/** The past use of all teams. Only an owner fills the table; every daemon keeps the newest record. */
struct PastUse {
    TeamUseTable table;
    absl::flat_hash_map<std::string, TeamUseRef> byTeam;
    Token token = 0; ///< Fencing token of the ownership that the table belongs to; zero while there is none.
    MonotonicTime updatedAt{}; ///< The averages include the use until this time.
    TeamUseRecord written; ///< The record that this owner began with or has queued last.
    MonotonicTime nextWriteAt{}; ///< No record is queued before this time.
    std::optional<TeamUseRecord> newest; ///< The newest record in the journal; unset without a well-formed one.
    bool malformedLogged = false; ///< A malformed record was logged.
};

} // namespace flamingotally::dispatch
