#include "dispatch/entry_func.h"
#include "dispatch/fault_func.h"
#include "dispatch/objective_func.h"
#include "dispatch/opening_func.h"
#include "dispatch/past_use_func.h"
#include "dispatch/policy/group_order.h"
#include "dispatch/policy/placer.h"
#include "dispatch/region_link.h"
#include "dispatch/stage_func.h"
#include "dispatch/systems/systems.h"
#include "dispatch/team_use_func.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

/** No task is placed while the owner's current batch has waited longer than this to be stored. */
constexpr Milliseconds unstoredLimit{500};
/** Maximum number of groups for which a pass requests advice; tickets for more groups would expire unused. */
constexpr std::size_t maxNeededGroups = 64;
/** Number of groups that are too late which a pass tries to place; they take turns. */
constexpr std::size_t tooLateGroupsPerPass = 32;
constexpr Milliseconds passInterval{10}; ///< Minimum time between two placement passes.

/** Returns the properties by which a group is ordered. */
GroupView viewOf(const Entry &entry, GroupRef group, const TickTime &time)
{
    const auto &identity = entry.work.groups.get<GroupIdentity>(group);
    const auto &policy = policyOf(entry, group);
    const auto &step = stepOf(entry, group);
    GroupView view;
    view.priority = policy.priority;
    view.endless = step.endless && !isStepAtFault(entry, group);
    view.visitedInPass = entry.work.groups.get<GroupState>(group).visitedInPass;
    const auto &team = entry.jobs.table.get<JobIdentity>(identity.job).team;
    const auto &config = entry.config;
    if (const auto it = config.teamByName.find(team); it != config.teamByName.end()) {
        const auto use = useOf(entry, team);
        view.usePerShare =
            usePerShare(use.present, use.past, entry.settings.pastUseWeight, config.current.teams[it->second].share);
    }
    const auto &occurrence = entry.work.occurrences.get<OccurrenceWork>(identity.occurrence);
    view.objectiveAt = occurrence.dueAt + occurrence.objective;
    if (!step.endless) {
        view.timeliness =
            timelinessOf(occurrence.dueAt, occurrence.objective, occurrence.criticalPaths[identity.step], time.now);
    }
    return view;
}

/** Returns true if a task of the group waits to be placed. */
bool hasWaiting(const Entry &entry, GroupRef group)
{
    return std::ranges::any_of(entry.work.groups.get<GroupState>(group).tasks, [&](TaskRef it) {
        return entry.work.tasks.get<TaskState>(it).phase == TaskPhase::Waiting;
    });
}

/** Removes from Work::waitingGroups the groups that have no waiting tasks or no longer exist. */
void removeGroupsNotWaiting(Entry &entry)
{
    std::erase_if(entry.work.waitingGroups, [&](GroupRef it) {
        if (!entry.work.groups.contains(it)) {
            return true;
        }
        const bool isWaiting = hasWaiting(entry, it);
        entry.work.groups.get<GroupState>(it).listed = isWaiting;
        return !isWaiting;
    });
}

/** Sorts the waiting groups by the sort keys that an order computes for them. */
template<GroupOrder Order>
void sortWaitingGroups(Entry &entry, const TickTime &time)
{
    using Key = decltype(Order::key(GroupView{}));
    std::vector<std::pair<Key, GroupRef>> keyed;
    keyed.reserve(entry.work.waitingGroups.size());
    auto &pass = entry.work.pass;
    pass.groupsWaiting = {};
    pass.gangsWaiting = 0;
    for (const auto it : entry.work.waitingGroups) {
        const auto view = viewOf(entry, it, time);
        if (view.timeliness == Timeliness::TooLate) {
            logOverdue(entry, it, time);
        }
        ++pass.groupsWaiting[static_cast<std::size_t>(view.timeliness)];
        pass.gangsWaiting += stepOf(entry, it).gang ? 1 : 0;
        keyed.emplace_back(Order::key(view), it);
    }
    std::ranges::sort(keyed);
    for (std::size_t n = 0; n < keyed.size(); ++n) {
        entry.work.waitingGroups[n] = keyed[n].second;
    }
}

/** Begins a pass: collects the workers that accept tasks, by pool. */
void beginPass(Entry &entry, const TickTime &time)
{
    auto &pass = entry.work.pass;
    ++pass.number;
    pass.beganAt = time.now;
    pass.pools = poolsOfPass(entry, time);
    for (auto &pool : pass.pools) {
        auto &since = entry.work.halfFreeSince[pool.name];
        updateHalfFree(since, pool, time.now);
        pool.halfFreeSince = since;
        for (const auto worker : pool.workers) {
            entry.workers.table.get<WorkerHealth>(worker).acceptsInPass = pass.number;
        }
    }
    pass.unplaceable.clear();
    pass.largeReservations = 0;
    pass.stalledReservations = 0;
    pass.reservedForGangs = 0;
}

/** Ends a pass. The reservations made during the pass are void from then on. */
void endPass(Entry &entry)
{
    ++entry.work.pass.number;
}

/** Logs that tasks of a group were placed, and records how long the group waited. */
void logPlacement(Entry &entry, GroupRef group, std::uint32_t placed, const TickTime &time)
{
    const auto &identity = entry.work.groups.get<GroupIdentity>(group);
    const auto &state = entry.work.groups.get<GroupState>(group);
    const auto &advice = entry.work.groups.get<GroupAdvice>(group);
    entry.counters.observe(LatencyKind::QueueWait, time.now - state.openedAt);
    const auto respondedAfter = std::max(Milliseconds{0}, Milliseconds(advice.respondedAt - state.openedAt));
    const auto &team = entry.jobs.table.get<JobIdentity>(identity.job).team;
    const auto use = useOf(entry, team);
    logEvent(entry,
             EventKind::RunPlaced,
             entry.jobs.table.get<JobIdentity>(identity.job).id,
             "step={} tasks={} of={} waited_ms={} questions={} answered_after_ms={} config={} team={} "
             "present_cores={:.3f} past_cores={:.3f}",
             identity.step,
             placed,
             state.tasks.size(),
             (time.now - state.openedAt).count(),
             advice.requestCount,
             respondedAfter.count(),
             entry.config.current.version,
             team,
             use.present,
             use.past);
}

/** Has a request sent to the policy service for a group, at once or when it is its turn. */
void requestAdvice(Entry &entry, GroupRef group, bool isUseful)
{
    if (isUseful) {
        if (entry.advice.needed.size() < maxNeededGroups) {
            entry.advice.needed.push_back(group);
        }
    } else if (!std::exchange(entry.work.groups.get<GroupAdvice>(group).isQueued, true)) {
        entry.advice.backlog.push_back(group);
    }
}

/** Makes a pass run when the next waiting task of a group may be placed. */
void requestPassWhenReady(Entry &entry, GroupRef group, const TickTime &time)
{
    for (const auto it : entry.work.groups.get<GroupState>(group).tasks) {
        const auto &task = entry.work.tasks.get<TaskState>(it);
        if (task.phase == TaskPhase::Waiting && task.readyAt > time.now) {
            entry.work.fullPassAt = std::min(entry.work.fullPassAt, task.readyAt);
        }
    }
}

/**
 * Places tasks of a group; for the others, asks for tickets or reserves capacity where that can help.
 * @param isUseful The group is not too late to be useful.
 */
void visitGroup(Entry &entry, GroupRef group, bool isUseful, const TickTime &time)
{
    entry.work.groups.get<GroupState>(group).visitedInPass = entry.work.pass.number;
    requestPassWhenReady(entry, group, time);
    if (readyTasks(entry, group, time) == 0) {
        return;
    }
    Placer<FitChoice> placer(entry, group, time);
    if (const auto placed = placer.place(); placed > 0) {
        logPlacement(entry, group, placed, time);
    }
    const bool isNew = entry.work.groups.get<GroupAdvice>(group).requestCount == 0;
    const bool isPending = entry.work.groups.get<GroupAdvice>(group).pendingNumber != 0;
    const bool mayNeedAdvice = policyOf(entry, group).advice.required && !isPending && !placer.isAtLimit()
        && readyTasks(entry, group, time) > 0;
    const bool isPlanned = isPlannedGang(entry, group);
    const bool isReadyToAsk = isPlanned && placer.reserveForGang(isUseful);
    if (mayNeedAdvice && (isNew || isReadyToAsk || (!isPlanned && placer.lacksTickets()))) {
        requestAdvice(entry, group, isUseful);
    }
    if (!isPlanned) {
        placer.reserveCapacity();
    }
}

} // namespace

void placementSystem(Entry &entry, const TickTime &time)
{
    if (!mayStart(entry, time)) {
        entry.advice.needed.clear();
        return;
    }
    const auto &writer = entry.writer(JournalWriter::Owner);
    if (writer.batch && time.now - writer.madeAt > unstoredLimit) {
        return;
    }
    openDueOccurrences(entry, time);
    if (entry.work.waitingGroups.empty()) {
        entry.work.passRequested = false;
        return;
    }
    if (time.now < entry.work.passAt) {
        entry.wakeBy(entry.work.passAt);
        return;
    }
    if (areAllBacklogged(entry.workers)) {
        // each pass sorts the waiting groups by urgency; the waiting orders keep the sequence of earlier passes
        entry.wakeBy(time.now + passInterval);
        return;
    }
    if (!entry.work.passRequested && time.now < entry.work.fullPassAt) {
        entry.wakeBy(entry.work.fullPassAt);
        return;
    }
    constexpr Milliseconds fullPassInterval{150}; // without a request, while groups wait; `passAt` can be later
    constexpr std::size_t groupsPerMillisecond = 100; // each 100 waiting groups delay the next pass by 1 ms
    entry.work.passAt = time.now + passInterval + Milliseconds(entry.work.waitingGroups.size() / groupsPerMillisecond);
    entry.work.fullPassAt = time.now + fullPassInterval;
    entry.work.passRequested = false;
    entry.advice.needed.clear();
    removeGroupsNotWaiting(entry);
    sortWaitingGroups<FairOrder>(entry, time);
    beginPass(entry, time);
    const auto &groups = entry.work.waitingGroups;
    const auto tooLate = entry.work.pass.groupsWaiting[static_cast<std::size_t>(Timeliness::TooLate)];
    const auto useful = groups.size() - tooLate; // those that are too late are sorted last
    for (std::size_t n = 0; n < std::min(groups.size(), useful + tooLateGroupsPerPass); ++n) {
        visitGroup(entry, groups[n], /*isUseful=*/n < useful, time);
    }
    endPass(entry);
    removeGroupsNotWaiting(entry);
    entry.wakeBy(entry.work.fullPassAt);
}

} // namespace flamingotally::dispatch
