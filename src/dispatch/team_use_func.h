/** @file team_use_func.h Functions over the present and past use of teams. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Present and past use of a team, in cores. */
struct UseInCores {
    double present = 0; ///< What the team's runs use now.
    double past = 0; ///< Decaying average; zero on daemons that are not the owner.
};

/** A team with its use. */
struct TeamUse {
    std::string team;
    UseInCores use;
};

/** Returns the present and past use of a team. */
UseInCores useOf(const Entry &entry, const std::string &team);

/** Returns the teams that have used most, sorted by present plus past use. @param limit Maximum number of teams. */
std::vector<TeamUse> busiestTeams(const Entry &entry, std::size_t limit);

/** Keeps a record that was read from the journal, for the case that this daemon becomes the owner. */
void applyTeamUse(Entry &entry, const TeamUseRecord &record);

/**
 * Queues the record of past use if it is due and has changed. It is only queued behind other records, so that it never
 * makes a batch of its own.
 */
void queueTeamUse(Entry &entry, const TickTime &time);

} // namespace flamingotally::dispatch
