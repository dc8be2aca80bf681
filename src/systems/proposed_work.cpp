/** @file proposed_work.cpp Collects the work that this daemon has proposed and not read back yet. */
#include "systems/scheduling.h"

namespace flamingotally
{

namespace
{

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

/** Adds the work of commands that submit jobs, or place, stop or withdraw tasks. Ignores all other commands. */
struct ProposedWorkCollector {
    const Tables &tables;
    ProposedWork &work;

    void operator()(const SubmitJob &command) const
    {
        const auto team = teamOf(tables, command);
        for (const auto &it : command.placements) {
            work.allocations.push_back({it.worker, team, command.perTask});
        }
    }

    void operator()(const PlaceTasks &command) const
    {
        for (const auto &it : command.placements) {
            if (!tables.tasks.contains(it.task) || tables.tasks.get<TaskState>(it.task).phase != TaskPhase::Waiting) {
                continue;
            }
            const auto job = tables.tasks.get<TaskIdentity>(it.task).job;
            work.tasks.insert(keyOf(it.task));
            const auto team = tables.jobs.get<JobIdentity>(job).team;
            work.allocations.push_back({it.worker, team, tables.jobs.get<JobSpec>(job).perTask});
        }
    }

    void operator()(const StopAttempts &command) const
    {
        work.stops.insert(command.attempts.begin(), command.attempts.end());
    }

    void operator()(const WithdrawTasks &command) const
    {
        for (const auto it : command.tasks) {
            work.tasks.insert(keyOf(it));
        }
    }

    template<typename Other>
    void operator()(const Other & /*command*/) const
    {
    }
};

} // namespace

ProposedWork collectProposedWork(const Node &node)
{
    ProposedWork work;
    node.proposals.forEach([&](ProposalRef it) {
        std::visit(ProposedWorkCollector{node.tables, work}, node.proposals.get<Proposal>(it).command);
    });
    return work;
}

} // namespace flamingotally
