/** @file new_job.cpp Placing a job before it is in the log. */
#include "core/digest.h"
#include "policy/gang.h"
#include "policy/task_need.h"
#include "systems/scheduling.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Tells whether work that goes before such a job waits for room. */
bool mustQueue(const Node &node, const ProfileSpec &profileSpec)
{
    const auto &blocked = node.scheduling.blocked;
    if (node.settings.policy == PolicyKind::Share && profileSpec.urgency == Urgency::Urgent) {
        return blocked[static_cast<std::size_t>(Urgency::Urgent)];
    }
    return std::ranges::any_of(blocked, [](bool it) { return it; });
}

/** Leaves only this daemon's own workers open, as long as it lives. */
class OwnRowsOnly
{
public:
    explicit OwnRowsOnly(SchedulingState &state) : m_use(state.scratch.rooms.use), m_saved(state.scratch.rooms.use)
    {
        for (std::size_t n = 0; n < m_use.size(); ++n) {
            const bool isOwn = n < state.owned.size() && state.owned[n] != 0;
            if (!isOwn || m_use[n] == RowUse::Probe) {
                m_use[n] = RowUse::Closed;
            }
        }
    }
    OwnRowsOnly(const OwnRowsOnly &) = delete;
    OwnRowsOnly &operator=(const OwnRowsOnly &) = delete;

    ~OwnRowsOnly()
    {
        m_use = std::move(m_saved);
    }

private:
    std::vector<RowUse> &m_use;
    std::vector<RowUse> m_saved;
};

std::vector<InitialPlacement> placeNewTasks(Node &node, const SubmitJob &job, TaskNeed need, TeamRef team)
{
    auto &scratch = node.scheduling.scratch;
    std::vector<InitialPlacement> placements;
    for (std::uint32_t n = 0; n < job.count; ++n) {
        if (!withinLimit(node.tables, scratch.teams, team, job.perTask)) {
            break;
        }
        need.seed = digestOf(job.request) + n;
        const auto row = pickRowBy(node.settings.policy, scratch.rooms, need);
        if (!row) {
            break;
        }
        takeRoom(scratch.rooms, scratch.teams, *row, team, job.perTask);
        placements.push_back({n, scratch.rooms.workers[*row]});
    }
    return placements;
}

std::vector<InitialPlacement> placeNewGang(Node &node, const SubmitJob &job, const TaskNeed &need, TeamRef team)
{
    auto &scratch = node.scheduling.scratch;
    if (!withinLimit(node.tables, scratch.teams, team, job.perTask * job.count)) {
        return {};
    }
    std::vector<InitialPlacement> placements;
    for (const auto row : placeGang(scratch.rooms, need, job.count)) {
        takeRoom(scratch.rooms, scratch.teams, row, team, job.perTask);
        placements.push_back({static_cast<std::uint32_t>(placements.size()), scratch.rooms.workers[row]});
    }
    return placements;
}

} // namespace

std::vector<InitialPlacement> planNewJob(Node &node, const SubmitJob &job, TeamRef team, const TickTime &time)
{
    auto &state = node.scheduling;
    if (!state.hasPlan || !mayPlace(node, time) || !node.tables.teams.contains(team)
        || team.index >= state.scratch.teams.use.size()) {
        return {};
    }
    const auto &profileSpec = node.tables.profiles.get<ProfileSpec>(job.profile);
    if (mustQueue(node, profileSpec) || profileSpec.spread != Spread::None) {
        return {};
    }
    const OwnRowsOnly mask(state);
    const TaskNeed need = needOf(profileSpec, job.perTask);
    return profileSpec.kind == WorkKind::Gang ? placeNewGang(node, job, need, team)
                                              : placeNewTasks(node, job, need, team);
}

} // namespace flamingotally
