#include "dispatch/work_step.h"

#include "dispatch/entry_func.h"
#include "dispatch/stage_func.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

void markDirty(Work &work, OccurrenceRef occurrence)
{
    auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    if (!state.dirty) {
        state.dirty = true;
        work.dirty.push_back(occurrence);
    }
}

void deferWrite(Entry &entry, OccurrenceRef occurrence, const TickTime &time)
{
    constexpr Milliseconds delayPerDaemon{1}; // each of them reads what is written
    constexpr Milliseconds longestDelay{100};
    auto &work = entry.work;
    auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    if (state.dirty || state.deferred) {
        return;
    }
    if (work.deferred.empty()) {
        const auto daemons = static_cast<std::int64_t>(entry.ownership.daemonsAlive);
        work.deferredUntil = time.now + std::min(delayPerDaemon * daemons, longestDelay);
    }
    state.deferred = true;
    work.deferred.push_back(occurrence);
}

void markDeferredDirty(Work &work)
{
    for (const auto occurrence : std::exchange(work.deferred, {})) {
        if (work.occurrences.contains(occurrence) && work.occurrences.get<OccurrenceWork>(occurrence).deferred) {
            markDirty(work, occurrence);
        }
    }
}

void listGroup(Work &work, GroupRef group)
{
    auto &state = work.groups.get<GroupState>(group);
    if (state.open && !state.listed) {
        state.listed = true;
        work.waitingGroups.push_back(group);
    }
    work.passRequested = true;
}

OccurrenceRef occurrenceOf(const Work &work, TaskRef task)
{
    const auto group = work.tasks.get<TaskIdentity>(task).group;
    return work.groups.get<GroupIdentity>(group).occurrence;
}

bool isDone(const Work &work, GroupRef group)
{
    const auto &state = work.groups.get<GroupState>(group);
    return state.done == state.tasks.size();
}

bool isHalfDone(const Work &work, GroupRef group)
{
    const auto &state = work.groups.get<GroupState>(group);
    return 2 * std::size_t{state.done} >= state.tasks.size();
}

void openGroups(Entry &entry, OccurrenceRef occurrence, const TickTime &time)
{
    auto &work = entry.work;
    const auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    if (state.closed) {
        return;
    }
    const auto &steps =
        entry.jobs.table.get<JobPlan>(work.occurrences.get<OccurrenceIdentity>(occurrence).job).spec.steps;
    for (std::size_t n = 0; n < steps.size(); ++n) {
        auto &group = work.groups.get<GroupState>(state.groups[n]);
        const bool canOpen = std::ranges::all_of(
            steps[n].after, [&](std::uint32_t earlier) { return isDone(work, state.groups[earlier]); });
        if (!group.open && canOpen) {
            group.open = true;
            group.openedAt = time.now;
            listGroup(work, state.groups[n]);
        }
    }
}

void prefetchAdvice(Entry &entry, OccurrenceRef occurrence)
{
    auto &work = entry.work;
    const auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    const auto job = work.occurrences.get<OccurrenceIdentity>(occurrence).job;
    const auto &plan = entry.jobs.table.get<JobPlan>(job);
    if (state.closed || !plan.policy.advice.required) {
        return;
    }
    for (std::size_t n = 0; n < plan.spec.steps.size(); ++n) {
        const auto group = state.groups[n];
        const bool isOpenOrRequested = work.groups.get<GroupState>(group).open
            || work.groups.get<GroupAdvice>(group).requestCount > 0
            || std::ranges::find(entry.advice.prefetch, group) != entry.advice.prefetch.end();
        const bool isNearlyOpen = std::ranges::all_of(
            plan.spec.steps[n].after, [&](std::uint32_t earlier) { return isHalfDone(work, state.groups[earlier]); });
        if (!isOpenOrRequested && isNearlyOpen) {
            entry.advice.prefetch.push_back(group);
        }
    }
}

void completeIfDone(Entry &entry, OccurrenceRef occurrence, const TickTime &time)
{
    auto &work = entry.work;
    auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    if (state.closed || !std::ranges::all_of(state.groups, [&](GroupRef it) { return isDone(work, it); })) {
        return;
    }
    state.closed = true;
    state.outcome = OccurrenceOutcome::Completed;
    const auto &identity = work.occurrences.get<OccurrenceIdentity>(occurrence);
    const auto &job = entry.jobs.table.get<JobIdentity>(identity.job);
    logEvent(entry,
             EventKind::JobCompleted,
             job.id,
             "occurrence={} queue={} objective_ms={} took_ms={}{}",
             identity.number,
             job.queue,
             state.objective.count(),
             (time.now - state.dueAt).count(),
             describeStages(stagesOf(entry, occurrence)));
}

} // namespace flamingotally::dispatch
