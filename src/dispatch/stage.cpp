#include "dispatch/stage_func.h"

#include "dispatch/entry_func.h"
#include "dispatch/table/stage_table.h"
#include "dispatch/work_func.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace flamingotally::dispatch
{

namespace
{

/** Splits the time between two moments at moments in between, which may be unknown (zero) or out of order. */
class StageSplitter
{
public:
    StageSplitter(StageTimes &stages, MonotonicTime from) : m_stages(stages), m_at(from)
    {
    }

    /** Adds the time until the given moment to a stage. */
    void until(Stage stage, MonotonicTime at)
    {
        if (at > m_at) {
            m_stages[static_cast<std::size_t>(stage)] += at - m_at;
            m_at = at;
        }
    }

private:
    StageTimes &m_stages;
    MonotonicTime m_at;
};

/** Returns the earlier step of a group that was done last; unset for a group that waits for no other. */
GroupRef lastEarlierGroup(const Entry &entry, GroupRef group)
{
    const auto occurrence = entry.work.groups.get<GroupIdentity>(group).occurrence;
    const auto &groups = entry.work.occurrences.get<OccurrenceWork>(occurrence).groups;
    GroupRef last;
    for (const auto step : stepOf(entry, group).after) {
        const auto doneAt = entry.work.groups.get<GroupState>(groups[step]).doneAt;
        if (!last.isSet() || doneAt > entry.work.groups.get<GroupState>(last).doneAt) {
            last = groups[step];
        }
    }
    return last;
}

/** Returns what a waiting group waits for. */
Stage stageOfWaiting(const Entry &entry, GroupRef group, const TickTime &time)
{
    const auto &advice = entry.work.groups.get<GroupAdvice>(group);
    const bool needsTickets = policyOf(entry, group).advice.required && advice.validUntil <= time.now;
    return needsTickets ? Stage::Advice : Stage::Capacity;
}

} // namespace

void recordStages(Entry &entry, RunRef run, const TickTime &time)
{
    const auto &state = entry.work.runs.get<RunState>(run);
    const auto task = entry.work.runs.get<RunIdentity>(run).task;
    const auto &taskState = entry.work.tasks.get<TaskState>(task);
    const auto group = entry.work.tasks.get<TaskIdentity>(task).group;
    auto &groupState = entry.work.groups.get<GroupState>(group);
    StageTimes stages{};
    StageSplitter splitter(stages, groupState.openedAt);
    splitter.until(Stage::EarlierRuns, taskState.requeuedAt);
    const auto waitingSince = std::max(groupState.openedAt, taskState.requeuedAt);
    splitter.until(Stage::Advice, std::min(waitingSince + state.timeWithoutTickets, state.placedAt));
    splitter.until(Stage::Capacity, state.placedAt);
    splitter.until(Stage::Append, state.storedAt);
    splitter.until(Stage::Order, state.firstSentAt);
    splitter.until(Stage::Confirmation, state.confirmedAt);
    splitter.until(Stage::Run, time.now);
    groupState.stages = stages;
    groupState.doneAt = time.now;
}

StageTimes stagesOf(const Entry &entry, OccurrenceRef occurrence)
{
    const auto &state = entry.work.occurrences.get<OccurrenceWork>(occurrence);
    const auto doneAt = [&entry](GroupRef group) {
        return entry.work.groups.get<GroupState>(group).doneAt;
    };
    StageTimes sum{};
    StageSplitter(sum, state.dueAt).until(Stage::Owner, state.openedAt);
    for (auto group = *std::ranges::max_element(state.groups, {}, doneAt); group.isSet();
         group = lastEarlierGroup(entry, group)) {
        const auto &stages = entry.work.groups.get<GroupState>(group).stages;
        std::ranges::transform(sum, stages, sum.begin(), std::plus{});
    }
    return sum;
}

std::string describeStages(const StageTimes &stages)
{
    std::string text;
    for (const auto &row : stageTable) {
        fmt::format_to(
            std::back_inserter(text), " {}_ms={}", row.name, stages[static_cast<std::size_t>(row.value)].count());
    }
    return text;
}

void logOverdue(Entry &entry, GroupRef group, const TickTime &time)
{
    const auto &identity = entry.work.groups.get<GroupIdentity>(group);
    auto &occurrence = entry.work.occurrences.get<OccurrenceWork>(identity.occurrence);
    if (std::exchange(occurrence.overdueLogged, true)) {
        return;
    }
    const auto &job = entry.jobs.table.get<JobIdentity>(identity.job);
    logEvent(entry,
             EventKind::JobOverdue,
             job.id,
             "queue={} step={} waits_for={} waiting={} of={} objective_ms={} age_ms={} owner_ms={} step_age_ms={} "
             "questions={}",
             job.queue,
             identity.step,
             flamingotally::nameOf(stageTable, stageOfWaiting(entry, group, time)),
             waitingTasks(entry, group),
             entry.work.groups.get<GroupState>(group).tasks.size(),
             occurrence.objective.count(),
             (time.now - occurrence.dueAt).count(),
             (occurrence.openedAt - occurrence.dueAt).count(),
             (time.now - entry.work.groups.get<GroupState>(group).openedAt).count(),
             entry.work.groups.get<GroupAdvice>(group).requestCount);
}

} // namespace flamingotally::dispatch
