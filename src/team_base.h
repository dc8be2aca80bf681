/** @file team_base.h Tables of teams and keys. */
#pragma once

#include "core/time_type.h"
#include "resources_type.h"
#include "team_type.h"

#include <string>

namespace flamingotally
{

/** What a team is called. */
struct TeamIdentity {
    std::string name; ///< Unique name.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name);
    }
};

/** What operators allow a team. */
struct TeamPolicy {
    std::uint32_t share = 1; ///< Weight against other teams when the cell is full.
    Resources limit; ///< Upper limit of what runs at once, over the whole fleet.
    std::uint32_t queueLimit = 1000; ///< Upper limit of waiting tasks.
    std::uint64_t version = 0; ///< Rises with every change.
    bool deleted = false; ///< Tombstone: takes no new work.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(share, limit, queueLimit, version, deleted);
    }
};

/** What a team has at the moment. */
struct TeamUsage {
    Resources running; ///< Sum over its live attempts.
    std::uint32_t waitingTasks = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(running, waitingTasks);
    }
};

using TeamTable = Table<TeamTag, TeamIdentity, TeamPolicy, TeamUsage>;

/** A key that operators granted. */
struct KeyGrant {
    std::string label; ///< Unique name of the key, for operators.
    KeyDigest digest{}; ///< SHA-256 of the key.
    TeamRef team; ///< The team it speaks for; unset for operators' keys.
    KeyRole role = KeyRole::Submitter;
    bool withdrawn = false; ///< Kept as a tombstone so that the reason can be told.
    LogTime changedAt{};

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(label, digest, team, role, withdrawn, changedAt);
    }
};

using KeyTable = Table<KeyTag, KeyGrant>;

} // namespace flamingotally
