#include "dispatch/policy/group_order.h"
#include "dispatch/policy/placer.h"
#include "dispatch/systems/systems.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr double coresPerAccelerator = 8; ///< For comparing what teams hold.
constexpr double milliPerCore = 1'000;
constexpr int lateFactor = 3; ///< An end is of use within so many times the objective.
constexpr Milliseconds unstoredLimit{500}; ///< Nothing is placed while a batch waits longer to be stored.
constexpr std::size_t wantedAtMost = 64; ///< Groups that are asked about; tickets of those far behind would expire.
constexpr Milliseconds passInterval{10}; ///< Least time between two passes over what waits.

/** What can still be had of an occurrence whose objective is known, when a group of it begins now. */
Timeliness timelinessOf(MonotonicTime dueAt, Milliseconds objective, Milliseconds chain, const TickTime &time)
{
    const auto doneAt = time.now + chain;
    if (doneAt <= dueAt + objective) {
        return Timeliness::InTime;
    }
    return doneAt <= dueAt + objective * lateFactor ? Timeliness::Late : Timeliness::Lost;
}

GroupView viewOf(const Entry &entry, GroupRef group, const TickTime &time)
{
    const auto &identity = entry.work.groups.get<GroupIdentity>(group);
    const auto &policy = policyOf(entry, group);
    const auto &step = stepOf(entry, group);
    GroupView view;
    view.priority = policy.priority;
    view.endless = step.endless;
    const auto &team = entry.jobs.table.get<JobIdentity>(identity.job).team;
    const auto &config = entry.config;
    if (const auto it = config.teamByName.find(team); it != config.teamByName.end()) {
        const auto use = entry.work.teamUse.find(team);
        const auto held = use == entry.work.teamUse.end() ? Resources{} : use->second;
        const double cores = static_cast<double>(held.cpuMilli) / milliPerCore
            + coresPerAccelerator * static_cast<double>(held.accelerators);
        view.use = cores / std::max(config.current.teams[it->second].share, 1e-6);
    }
    const auto &occurrence = entry.work.occurrences.get<OccurrenceWork>(identity.occurrence);
    const auto longest = *std::ranges::max_element(occurrence.chains);
    const auto stretched = static_cast<std::int64_t>(policy.stretch * static_cast<double>(longest.count()));
    const auto objective = Milliseconds(stretched) + policy.targetLatency;
    view.objectiveAt = occurrence.dueAt + objective;
    if (!step.endless) {
        view.timeliness = timelinessOf(occurrence.dueAt, objective, occurrence.chains[identity.step], time);
    }
    return view;
}

bool hasWaiting(const Entry &entry, GroupRef group)
{
    return std::ranges::any_of(entry.work.groups.get<GroupState>(group).tasks, [&](TaskRef it) {
        return entry.work.tasks.get<TaskState>(it).phase == TaskPhase::Waiting;
    });
}

/** Takes groups off the list that are gone or have nothing that waits. */
void tidyWaiting(Entry &entry)
{
    std::erase_if(entry.work.waiting, [&](GroupRef it) {
        if (!entry.work.groups.contains(it)) {
            return true;
        }
        const bool waits = hasWaiting(entry, it);
        entry.work.groups.get<GroupState>(it).listed = waits;
        return !waits;
    });
}

template<GroupOrder Order>
void sortWaiting(Entry &entry, const TickTime &time)
{
    using Key = decltype(Order::key(GroupView{}));
    std::vector<std::pair<Key, GroupRef>> keyed;
    keyed.reserve(entry.work.waiting.size());
    for (const auto it : entry.work.waiting) {
        keyed.emplace_back(Order::key(viewOf(entry, it, time)), it);
    }
    std::ranges::sort(keyed);
    for (std::size_t n = 0; n < keyed.size(); ++n) {
        entry.work.waiting[n] = keyed[n].second;
    }
}

/** Begins a pass: finds the workers that take tasks, by pool. */
void beginPass(Entry &entry, const TickTime &time)
{
    auto &pass = entry.work.pass;
    ++pass.number;
    pass.pools.clear();
    pass.crowded.clear();
    pass.largeReservations = 0;
    entry.workers.table.forEach([&](WorkerRef worker) {
        if (!takesTasks(entry, worker, time)) {
            return;
        }
        const auto &name = entry.workers.table.get<WorkerIdentity>(worker).pool;
        auto it = std::ranges::find(pass.pools, name, &PassPool::name);
        if (it == pass.pools.end()) {
            it = pass.pools.insert(pass.pools.end(), {name, {}});
        }
        it->workers.push_back(worker);
    });
}

/** Ends a pass: room that was kept in it is free for whoever comes first in the next one. */
void endPass(Entry &entry)
{
    ++entry.work.pass.number;
}

void notePlaced(Entry &entry, GroupRef group, std::uint32_t placed, const TickTime &time)
{
    const auto &identity = entry.work.groups.get<GroupIdentity>(group);
    const auto &state = entry.work.groups.get<GroupState>(group);
    const auto &advice = entry.work.groups.get<GroupAdvice>(group);
    entry.counters.observe(LatencyKind::QueueWait, time.now - state.openedAt);
    const auto answeredAfter = std::max(Milliseconds{0}, Milliseconds(advice.answeredAt - state.openedAt));
    logEvent(entry,
             EventKind::RunPlaced,
             entry.jobs.table.get<JobIdentity>(identity.job).id,
             "step={} tasks={} of={} waited_ms={} questions={} answered_after_ms={} config={}",
             identity.step,
             placed,
             state.tasks.size(),
             (time.now - state.openedAt).count(),
             advice.questions,
             answeredAfter.count(),
             entry.config.current.version);
}

} // namespace

void placementSystem(Entry &entry, const TickTime &time)
{
    entry.advice.wanted.clear();
    if (!mayStart(entry, time)) {
        return;
    }
    const auto &writer = entry.writer(JournalWriter::Owner);
    if (writer.batch && time.now - writer.madeAt > unstoredLimit) {
        return;
    }
    openDueOccurrences(entry, time);
    if (entry.work.waiting.empty()) {
        entry.work.changed = false;
        return;
    }
    if (time.now < entry.work.passAt) {
        entry.wakeBy(entry.work.passAt);
        return;
    }
    if (!entry.work.changed && time.now < entry.work.fullPassAt) {
        entry.wakeBy(entry.work.fullPassAt);
        return;
    }
    constexpr Milliseconds fullPassInterval{150};
    constexpr std::size_t groupsPerMillisecond = 100; ///< The more there are, the rarer the passes.
    entry.work.passAt = time.now + passInterval + Milliseconds(entry.work.waiting.size() / groupsPerMillisecond);
    entry.work.fullPassAt = time.now + fullPassInterval;
    entry.work.changed = false;
    tidyWaiting(entry);
    sortWaiting<FairOrder>(entry, time);
    beginPass(entry, time);
    for (const auto group : entry.work.waiting) {
        Placer<FitChoice> placer(entry, group, time);
        if (const auto placed = placer.place(); placed > 0) {
            notePlaced(entry, group, placed, time);
        }
        const bool isNew = entry.work.groups.get<GroupAdvice>(group).questions == 0;
        const bool needsAdvice = policyOf(entry, group).advice.required && (isNew || placer.lacksTickets())
            && entry.advice.wanted.size() < wantedAtMost && !placer.isAtLimit();
        if (needsAdvice && hasWaiting(entry, group)) {
            entry.advice.wanted.push_back(group);
        }
        placer.holdRoom();
    }
    endPass(entry);
    tidyWaiting(entry);
    entry.wakeBy(entry.work.fullPassAt);
}

} // namespace flamingotally::dispatch
