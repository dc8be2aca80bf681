#include "systems/scheduling.h"

#include "node_func.h"
#include "systems/host_list.h"
#include "systems/rendezvous.h"
#include "systems/systems.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Shortest time between two plans. The next plan covers all records that are applied in this time. */
constexpr Milliseconds planInterval{10};

/** Longest time between two plans while work waits. */
constexpr Milliseconds replanInterval{250};

/** If the owner of a worker has not placed a planned task after this time, the daemon responsible for the job may. */
constexpr Milliseconds takeOverTimeout{1'000};

/** Time between two updates of `ownedWorkers`. */
constexpr Milliseconds ownershipInterval{500};

/** Maximum number of tasks that one plan places, so that a tick stays short. */
constexpr std::size_t maxTasksPerPlan = 128;

/** Maximum number of placements or stops in one command. */
constexpr std::size_t maxPlacementsPerCommand = 128;

bool isPlanDue(const Node &node, const TickTime &time)
{
    const auto &state = node.scheduling;
    if (!state.hasPlan) {
        return true;
    }
    const auto planAge = time.now - state.plannedAt;
    if (planAge < planInterval) {
        return false;
    }
    const bool hasWaiting = !state.scratch.waiting.jobs.empty();
    return state.plannedOffset != node.tables.position.nextOffset || state.isPlanTruncated
        || (hasWaiting && planAge >= replanInterval) || state.nextBackoffEnd <= estimateLogTime(node, time);
}

/** Requests a tick for the time at which the next plan is due. */
void wakeForNextPlan(Node &node, const TickTime &time)
{
    const auto &state = node.scheduling;
    if (state.isPlanTruncated || state.plannedOffset != node.tables.position.nextOffset) {
        wakeBy(node, state.plannedAt + planInterval);
    }
    if (!state.scratch.waiting.jobs.empty()) {
        wakeBy(node, state.plannedAt + replanInterval);
    }
    if (state.nextBackoffEnd != LogTime::max()) {
        const auto left = state.nextBackoffEnd - estimateLogTime(node, time);
        wakeBy(node, time.now + std::max(left, planInterval));
    }
}

bool ownsGroup(const Node &node, const PlannedGroup &group, const TickTime &time)
{
    return ownsWorker(node, group.placements.front().worker, time);
}

/** Returns true if a placement by another daemon is overdue and this daemon is responsible for the job. */
bool mayTakeOver(const Node &node, const PlannedGroup &group, const TickTime &time)
{
    const auto &first = group.placements.front();
    const auto it = node.scheduling.planned.find(keyOf(first.task));
    if (it == node.scheduling.planned.end() || time.now - it->second.firstPlannedAt < takeOverTimeout) {
        return false;
    }
    return isResponsibleFor(node, group.job, time);
}

/**
 * Stores the workers planned for tasks that other daemons have to place. Tasks that were planned before retain
 * `firstPlannedAt`.
 */
void storePlanned(PlannedTasks &planned, const PlannedTasks &previous, const PlannedGroup &group, const TickTime &time)
{
    for (const auto &it : group.placements) {
        const auto known = previous.find(keyOf(it.task));
        planned[keyOf(it.task)] = {it.worker, known != previous.end() ? known->second.firstPlannedAt : time.now};
    }
}

/** Proposes each gang in a command of its own, and single tasks in batches, with separate batches for urgent tasks. */
class PlacementBatcher
{
public:
    PlacementBatcher(Node &node, const TickTime &time) : m_node(node), m_time(time)
    {
    }

    void add(PlannedGroup group)
    {
        if (group.allOrNone) {
            propose(m_node, PlaceTasks{std::move(group.placements), true}, m_time, group.urgency == Urgency::Urgent);
            return;
        }
        auto &command = group.urgency == Urgency::Urgent ? m_urgent : m_other;
        command.placements.push_back(group.placements.front());
        if (command.placements.size() == maxPlacementsPerCommand) {
            proposeCommand(command, &command == &m_urgent);
        }
    }

    /** Proposes the commands that are not full. */
    void flush()
    {
        proposeCommand(m_urgent, true);
        proposeCommand(m_other, false);
    }

private:
    void proposeCommand(PlaceTasks &command, bool isUrgent)
    {
        if (!command.placements.empty()) {
            propose(m_node, std::exchange(command, PlaceTasks{}), m_time, isUrgent);
        }
    }

    Node &m_node;
    const TickTime &m_time;
    PlaceTasks m_urgent;
    PlaceTasks m_other;
};

void proposeGroups(Node &node, Plan &plan, const TickTime &time)
{
    PlannedTasks planned;
    PlacementBatcher batcher(node, time);
    for (auto &group : plan.groups) {
        if (ownsGroup(node, group, time) || mayTakeOver(node, group, time)) {
            batcher.add(std::move(group));
        } else {
            storePlanned(planned, node.scheduling.planned, group, time);
        }
    }
    batcher.flush();
    node.scheduling.planned = std::move(planned);
}

void proposePreemptions(Node &node, const Plan &plan, const TickTime &time)
{
    std::vector<AttemptNumber> stops;
    for (const auto &it : plan.stops) {
        if (ownsWorker(node, it.worker, time)) {
            stops.push_back(it.attempt);
        }
    }
    proposeStops(node, stops, StopCause::Preempted, time);
}

/** Makes a worker ineligible for the plan. Ignores workers that are not registered. */
void closeWorker(Node &node, const std::string &worker)
{
    const auto known = findRef(node.tables.lookups.workers, worker);
    auto &capacities = node.scheduling.scratch.capacities;
    if (known.isSet() && known.index < capacities.size()) {
        capacities.eligibility[known.index] = WorkerEligibility::Closed;
    }
}

/** Makes workers ineligible that the host list marks as leaving or omits, even if the log has no record of that yet. */
void closeLeavingWorkers(Node &node)
{
    for (const auto &it : node.hosts) {
        if (it.leaving) {
            closeWorker(node, it.name);
        }
    }
    for (const auto &[name, missingSince] : node.missingSince) {
        closeWorker(node, name);
    }
}

/** Allocates the resources of proposed placements, so that the plan counts them as used by their teams. */
void allocateProposed(PlanScratch &scratch, const ProposedWork &proposed)
{
    for (const auto &it : proposed.allocations) {
        const auto row = it.worker.index;
        const bool isKnown = row < scratch.capacities.size() && scratch.capacities.workers[row] == it.worker;
        if (isKnown && it.team.index < scratch.teams.use.size()) {
            allocate(scratch.capacities, scratch.teams, row, it.team, it.amount);
        }
    }
}

/** Updates the list of workers that this daemon owns, which planNewJob() uses, when the interval has passed. */
void updateOwnedWorkers(Node &node, const TickTime &time)
{
    auto &state = node.scheduling;
    const auto size = node.tables.workers.capacity();
    if (state.ownedWorkers.size() == size && time.now - state.ownershipCheckedAt < ownershipInterval) {
        return;
    }
    state.ownershipCheckedAt = time.now;
    state.ownedWorkers.assign(size, 0);
    node.tables.workers.forEach(
        [&](WorkerRef it) { state.ownedWorkers[it.index] = ownsWorker(node, it, time) ? 1 : 0; });
}

void planAndPropose(Node &node, const TickTime &time)
{
    auto &state = node.scheduling;
    const auto now = estimateLogTime(node, time);
    fillCapacities(state.scratch.capacities, node.tables, now);
    closeLeavingWorkers(node);
    fillTeamUse(state.scratch.teams, node.tables, state.scratch.capacities.capacity);
    const auto proposed = collectProposedWork(node);
    allocateProposed(state.scratch, proposed);
    collectWaiting(state.scratch.waiting, node.tables, proposed.tasks, now);
    const PlanInput input{node.tables, state.planned, proposed.stops, now, maxTasksPerPlan};
    Plan plan = makePlan(node.settings.policy, state.scratch, input);
    state.hasBlockedWork = plan.hasBlockedWork;
    state.isPlanTruncated = plan.isTruncated;
    state.plannedOffset = node.tables.position.nextOffset;
    state.plannedAt = time.now;
    state.nextBackoffEnd = state.scratch.waiting.nextBackoffEnd;
    state.hasPlan = true;
    proposeGroups(node, plan, time);
    proposePreemptions(node, plan, time);
    drainWorkers(node, proposed.stops, time);
    updateOwnedWorkers(node, time);
}

} // namespace

void proposeStops(Node &node, const std::vector<AttemptNumber> &attempts, StopCause cause, const TickTime &time)
{
    for (std::size_t first = 0; first < attempts.size(); first += maxPlacementsPerCommand) {
        const auto last = std::min(attempts.size(), first + maxPlacementsPerCommand);
        const auto begin = attempts.begin();
        propose(node,
                StopAttempts{{begin + static_cast<std::ptrdiff_t>(first), begin + static_cast<std::ptrdiff_t>(last)},
                             cause},
                time);
    }
}

bool isResponsibleFor(const Node &node, JobRef job, const TickTime &time)
{
    const auto &id = node.tables.jobs.get<JobIdentity>(job).request.bytes;
    return isRendezvousChoice(node, {reinterpret_cast<const char *>(id.data()), id.size()}, time);
}

bool mayProposePlacements(const Node &node, const TickTime &time)
{
    return isHostListFresh(node, time) && node.phase == NodePhase::Serving && node.view.fresh;
}

void schedulingSystem(Node &node, const TickTime &time)
{
    if (!mayProposePlacements(node, time)) {
        return;
    }
    if (isPlanDue(node, time)) {
        planAndPropose(node, time);
    }
    wakeForNextPlan(node, time);
}

} // namespace flamingotally
