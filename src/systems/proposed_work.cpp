/** @file proposed_work.cpp What this daemon has proposed and not read back yet. */
#include "systems/scheduling.h"

namespace flamingotally
{

namespace
{

void takeProposed(PlanScratch &scratch, WorkerRef worker, TeamRef team, const Resources &amount)
{
    const auto row = worker.index;
    if (row < scratch.rooms.size() && scratch.rooms.workers[row] == worker && team.index < scratch.teams.use.size()) {
        takeRoom(scratch.rooms, scratch.teams, row, team, amount);
    }
}

TeamRef teamOf(const Tables &tables, const SubmitJob &command)
{
    if (tables.keys.contains(command.key)) {
        return tables.keys.get<KeyGrant>(command.key).team;
    }
    if (tables.profiles.contains(command.profile)) {
        return findRef(tables.lookups.teams, tables.profiles.get<ProfileSpec>(command.profile).team);
    }
    return {};
}

/** Collects the kinds of commands that touch room; the others are passed over. */
struct Collector {
    Node &node;
    ProposedWork &work;

    void operator()(const SubmitJob &command) const
    {
        const auto team = teamOf(node.tables, command);
        for (const auto &it : command.placements) {
            takeProposed(node.scheduling.scratch, it.worker, team, command.perTask);
        }
    }

    void operator()(const PlaceTasks &command) const
    {
        const auto &tables = node.tables;
        for (const auto &it : command.placements) {
            if (!tables.tasks.contains(it.task) || tables.tasks.get<TaskState>(it.task).phase != TaskPhase::Waiting) {
                continue;
            }
            const auto job = tables.tasks.get<TaskIdentity>(it.task).job;
            work.tasks.insert(keyOf(it.task));
            takeProposed(node.scheduling.scratch,
                         it.worker,
                         tables.jobs.get<JobIdentity>(job).team,
                         tables.jobs.get<JobSpec>(job).perTask);
        }
    }

    void operator()(const StopAttempts &command) const
    {
        work.stops.insert(command.attempts.begin(), command.attempts.end());
    }

    template<typename Other>
    void operator()(const Other & /*command*/) const
    {
    }
};

} // namespace

ProposedWork collectProposed(Node &node)
{
    ProposedWork work;
    node.proposals.forEach([&](ProposalRef it) {
        std::visit(Collector{node, work}, node.proposals.get<Proposal>(it).command);
    });
    return work;
}

} // namespace flamingotally
