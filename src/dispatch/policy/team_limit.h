/** @file team_limit.h The limit on the resources that the runs of a team use. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Returns true if the team of a group's job stays within its limit with the additional resources. */
inline bool isWithinTeamLimit(const Entry &entry, GroupRef group, const Resources &more)
{
    const auto job = entry.work.groups.get<GroupIdentity>(group).job;
    const auto &name = entry.jobs.table.get<JobIdentity>(job).team;
    const auto &view = entry.config;
    const auto team = view.teamByName.find(name);
    if (team == view.teamByName.end()) {
        return true;
    }
    const auto &limit = view.current.teams[team->second].limit;
    const auto it = entry.work.teamUse.find(name);
    const auto use = (it == entry.work.teamUse.end() ? Resources{} : it->second) + more;
    const auto isWithin = [](std::int64_t amount, std::int64_t bound) {
        return bound == 0 || amount <= bound;
    };
    return isWithin(use.cpuMilli, limit.cpuMilli) && isWithin(use.memoryMb, limit.memoryMb)
        && isWithin(use.accelerators, limit.accelerators);
}

} // namespace flamingotally::dispatch
