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

/** Shortest time between two plans. Records that arrive in between are covered by one plan. */
constexpr Milliseconds planInterval{10};

/** Longest time between two plans while work waits. */
constexpr Milliseconds replanInterval{250};

/** If another daemon has not proposed the placement of a task for this long, the daemon responsible for its job may. */
constexpr Milliseconds takeOverTimeout{1'000};

/** Time between two updates of the list of workers that this daemon owns. */
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
    const auto since = time.now - state.plannedAt;
    if (since < planInterval) {
        return false;
    }
    const bool hasWaiting = !state.scratch.waiting.jobs.empty();
    return state.plannedOffset != node.tables.position.nextOffset || state.isTruncated
        || (hasWaiting && since >= replanInterval) || state.nextBackoffEnd <= estimateLogTime(node, time);
}

/** Requests a tick for the time at which the next plan is due. */
void wakeForNextPlan(Node &node, const TickTime &time)
{
    const auto &state = node.scheduling;
    if (state.isTruncated || state.plannedOffset != node.tables.position.nextOffset) {
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

/** Returns true if a placement by another daemon is overdue and this daemon has to propose it instead. */
bool mayTakeOver(const Node &node, const PlannedGroup &group, const TickTime &time)
{
    const auto &first = group.placements.front();
    const auto it = node.scheduling.planned.find(keyOf(first.task));
    if (it == node.scheduling.planned.end() || time.now - it->second.since < takeOverTimeout) {
        return false;
    }
    return isResponsibleFor(node, group.job, time);
}

/** Stores the planned workers of tasks that other daemons have to place. */
void rememberPlanned(PlannedTasks &next, const PlannedTasks &last, const PlannedGroup &group, const TickTime &time)
{
    for (const auto &it : group.placements) {
        const auto known = last.find(keyOf(it.task));
        next[keyOf(it.task)] = {it.worker, known != last.end() ? known->second.since : time.now};
    }
}

/** Batches placements of single tasks into commands, with separate commands for urgent tasks. */
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
        auto &open = group.urgency == Urgency::Urgent ? m_urgent : m_other;
        open.placements.push_back(group.placements.front());
        if (open.placements.size() == maxPlacementsPerCommand) {
            close(open, &open == &m_urgent);
        }
    }

    void flush()
    {
        close(m_urgent, true);
        close(m_other, false);
    }

private:
    void close(PlaceTasks &open, bool urgent)
    {
        if (!open.placements.empty()) {
            propose(m_node, std::exchange(open, PlaceTasks{}), m_time, urgent);
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
    PlacementBatcher queue(node, time);
    for (auto &group : plan.groups) {
        if (ownsGroup(node, group, time) || mayTakeOver(node, group, time)) {
            queue.add(std::move(group));
        } else {
            rememberPlanned(planned, node.scheduling.planned, group, time);
        }
    }
    queue.flush();
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

/** Makes a worker ineligible in the current plan, if it is registered. */
void closeWorker(Node &node, const std::string &worker)
{
    const auto known = findRef(node.tables.lookups.workers, worker);
    auto &capacities = node.scheduling.scratch.capacities;
    if (known.isSet() && known.index < capacities.size()) {
        capacities.eligibility[known.index] = WorkerEligibility::Closed;
    }
}

/** Makes workers ineligible that are leaving or missing on the host list, before the log has a record of that. */
void closeLeavingHosts(Node &node)
{
    for (const auto &it : node.hosts) {
        if (it.leaving) {
            closeWorker(node, it.name);
        }
    }
    for (const auto &[name, since] : node.missingSince) {
        closeWorker(node, name);
    }
}

/** Deducts the resources of proposed placements from the capacity that the next plan sees. */
void deductProposed(PlanScratch &scratch, const ProposedWork &proposed)
{
    for (const auto &it : proposed.allocations) {
        const auto row = it.worker.index;
        const bool isKnown = row < scratch.capacities.size() && scratch.capacities.workers[row] == it.worker;
        if (isKnown && it.team.index < scratch.teams.use.size()) {
            allocate(scratch.capacities, scratch.teams, row, it.team, it.amount);
        }
    }
}

/** Updates at an interval which workers this daemon owns. planNewJob() uses the result. */
void updateOwned(Node &node, const TickTime &time)
{
    auto &state = node.scheduling;
    const auto size = node.tables.workers.capacity();
    if (state.owned.size() == size && time.now - state.ownershipCheckedAt < ownershipInterval) {
        return;
    }
    state.ownershipCheckedAt = time.now;
    state.owned.assign(size, 0);
    node.tables.workers.forEach([&](WorkerRef it) { state.owned[it.index] = ownsWorker(node, it, time) ? 1 : 0; });
}

void planAndPropose(Node &node, const TickTime &time)
{
    auto &state = node.scheduling;
    const auto now = estimateLogTime(node, time);
    fillCapacities(state.scratch.capacities, node.tables, now);
    closeLeavingHosts(node);
    fillTeamUse(state.scratch.teams, node.tables, state.scratch.capacities.capacity);
    const auto proposed = collectProposedWork(node);
    deductProposed(state.scratch, proposed);
    collectWaiting(state.scratch.waiting, node.tables, proposed.tasks, now);
    const PlanInput input{node.tables, state.planned, proposed.stops, now, maxTasksPerPlan};
    Plan plan = makePlan(node.settings.policy, state.scratch, input);
    state.blocked = plan.blocked;
    state.isTruncated = plan.isTruncated;
    state.plannedOffset = node.tables.position.nextOffset;
    state.plannedAt = time.now;
    state.nextBackoffEnd = state.scratch.waiting.nextBackoffEnd;
    state.hasPlan = true;
    proposeGroups(node, plan, time);
    proposePreemptions(node, plan, time);
    drainWorkers(node, proposed.stops, time);
    updateOwned(node, time);
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

bool mayPlace(const Node &node, const TickTime &time)
{
    return isHostListFresh(node, time) && node.phase == NodePhase::Serving && node.view.fresh;
}

void schedulingSystem(Node &node, const TickTime &time)
{
    if (!mayPlace(node, time)) {
        return;
    }
    if (isPlanDue(node, time)) {
        planAndPropose(node, time);
    }
    wakeForNextPlan(node, time);
}

} // namespace flamingotally
