/** @file team_base.h Tables of teams and keys. */
#pragma once

#include "core/time_type.h"
#include "resources_type.h"
#include "team_type.h"

#include <string>

namespace flamingotally
{

/** Name of a team. */
struct TeamIdentity {
    std::string name; ///< Unique name.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name);
    }
};

/** Share and limits of a team, set by operators. */
struct TeamPolicy {
    std::uint32_t share = 1; ///< Weight of the team relative to other teams when the cell is full.
    Resources limit; ///< Upper limit of the resources that its live attempts reserve, over the whole fleet.
    std::uint32_t queueLimit = 1000; ///< Upper limit of the number of waiting tasks.
    std::uint64_t version = 0; ///< Increases with every change.
    bool deleted = false; ///< Tombstone: the team accepts no new work.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(share, limit, queueLimit, version, deleted);
    }
};

/** Current usage of a team. */
struct TeamUsage {
    Resources running; ///< Sum of the amounts that its live attempts reserve.
    std::uint32_t waitingTasks = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(running, waitingTasks);
    }
};

using TeamTable = Table<TeamTag, TeamIdentity, TeamPolicy, TeamUsage>;

/** A key granted by an operator. */
struct KeyGrant {
    std::string label; ///< Unique name of the key, for operators.
    KeyDigest digest{}; ///< SHA-256 of the key.
    TeamRef team; ///< Team that the key acts for; unset for operators' keys.
    KeyRole role = KeyRole::Submitter;
    bool withdrawn = false; ///< Tombstone, so that a refusal can name the reason.
    LogTime changedAt{}; ///< Time of the grant or the withdrawal.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(label, digest, team, role, withdrawn, changedAt);
    }
};

using KeyTable = Table<KeyTag, KeyGrant>;

} // namespace flamingotally
