/** @file new_job.cpp Chooses workers for a job that is not in the log yet. */
#include "core/digest.h"
#include "policy/gang.h"
#include "policy/task_need.h"
#include "systems/scheduling.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Returns true if work that takes precedence over a job of this profile is waiting for capacity. */
bool isBehindBlockedWork(const Node &node, const ProfileSpec &profileSpec)
{
    const auto &blocked = node.scheduling.hasBlockedWork;
    if (node.settings.policy == PolicyKind::Share && profileSpec.urgency == Urgency::Urgent) {
        return blocked[static_cast<std::size_t>(Urgency::Urgent)];
    }
    return std::ranges::any_of(blocked, [](bool it) { return it; });
}

/** Limits the eligible workers to this daemon's own, without those due for a probe, until the object is destroyed. */
class OwnWorkersOnly
{
public:
    explicit OwnWorkersOnly(SchedulingState &state)
        : m_eligibility(state.scratch.capacities.eligibility), m_saved(state.scratch.capacities.eligibility)
    {
        for (std::size_t n = 0; n < m_eligibility.size(); ++n) {
            const bool isOwn = n < state.ownedWorkers.size() && state.ownedWorkers[n] != 0;
            if (!isOwn || m_eligibility[n] == WorkerEligibility::Probe) {
                m_eligibility[n] = WorkerEligibility::Closed;
            }
        }
    }
    OwnWorkersOnly(const OwnWorkersOnly &) = delete;
    OwnWorkersOnly &operator=(const OwnWorkersOnly &) = delete;

    ~OwnWorkersOnly()
    {
        m_eligibility = std::move(m_saved);
    }

private:
    std::vector<WorkerEligibility> &m_eligibility;
    std::vector<WorkerEligibility> m_saved;
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
        const auto row = pickRowBy(node.settings.policy, scratch.capacities, need);
        if (!row) {
            break;
        }
        allocate(scratch.capacities, scratch.teams, *row, team, job.perTask);
        placements.push_back({n, scratch.capacities.workers[*row]});
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
    for (const auto row : placeGang(scratch.capacities, need, job.count)) {
        allocate(scratch.capacities, scratch.teams, row, team, job.perTask);
        placements.push_back({static_cast<std::uint32_t>(placements.size()), scratch.capacities.workers[row]});
    }
    return placements;
}

} // namespace

std::vector<InitialPlacement> planNewJob(Node &node, const SubmitJob &job, TeamRef team, const TickTime &time)
{
    auto &state = node.scheduling;
    if (!state.hasPlan || !mayProposePlacements(node, time) || !node.tables.teams.contains(team)
        || team.index >= state.scratch.teams.use.size()) {
        return {};
    }
    const auto &profileSpec = node.tables.profiles.get<ProfileSpec>(job.profile);
    if (isBehindBlockedWork(node, profileSpec) || profileSpec.spread != Spread::None) {
        return {};
    }
    const OwnWorkersOnly mask(state);
    const TaskNeed need = needOf(profileSpec, job.perTask);
    return profileSpec.kind == WorkKind::Gang ? placeNewGang(node, job, need, team)
                                              : placeNewTasks(node, job, need, team);
}

} // namespace flamingotally
