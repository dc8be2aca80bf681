#include "attempt_cmd.h"

#include "attempt_func.h"
#include "config_func.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Determines for which gangs (jobs whose tasks are placed all together) a command places all members. */
class GangCompleteness
{
public:
    GangCompleteness(const Tables &tables, const PlaceTasks &command) : m_tables(tables), m_allOrNone(command.allOrNone)
    {
        for (const auto &it : command.placements) {
            m_placed.insert(it.task.index);
        }
    }

    /**
     * Returns whether the command places every task of a job, apart from tasks that have already ended. Always false
     * for a command that is not all-or-none, because such a command may be executed in part.
     */
    bool placesAllMembers(JobRef job)
    {
        if (!m_allOrNone) {
            return false;
        }
        const auto [it, isNew] = m_completeByJob.try_emplace(job.index, false);
        if (isNew) {
            it->second = std::ranges::all_of(m_tables.jobs.get<JobState>(job).tasks, [this](TaskRef task) {
                return m_tables.tasks.get<TaskState>(task).phase == TaskPhase::Ended || m_placed.contains(task.index);
            });
        }
        return it->second;
    }

private:
    const Tables &m_tables;
    bool m_allOrNone;
    absl::flat_hash_set<std::uint32_t> m_placed; ///< Indexes of the tasks that the command places.
    absl::flat_hash_map<std::uint32_t, bool> m_completeByJob; ///< Cached results, by index of the job.
};

/** Tests one placement, including the rule that all members of a gang are placed together. */
Reason testPlacementInGang(const Tables &tables,
                           const Placement &placement,
                           const PlacementReservations &reservations,
                           GangCompleteness &gangs)
{
    if (const auto reason = testPlacement(tables, placement, reservations); reason != Reason::None) {
        return reason;
    }
    const auto job = tables.tasks.get<TaskIdentity>(placement.task).job;
    const bool isGang = tables.jobs.get<JobSpec>(job).profileSpec.kind == WorkKind::Gang;
    return isGang && !gangs.placesAllMembers(job) ? Reason::GangIncomplete : Reason::None;
}

/**
 * Tests whether a command of its proposer (the daemon that appended it) may let the lease of an attempt expire without
 * a report from the worker. Any daemon may propose this under CutOffRule::Move; under CutOffRule::Keep, only a daemon
 * of the worker's failure domain.
 */
Reason testLeaseExpiry(const Tables &tables, const RecordContext &context, AttemptRef attempt)
{
    if (profileSpecOf(tables, attempt).whenCutOff == CutOffRule::Move) {
        return Reason::None;
    }
    return isInDomainOf(tables, attempt, context.proposer) ? Reason::None : Reason::ProposerOutsideDomain;
}

/**
 * Tests whether an attempt may be stopped for a cause: for preemption if its tasks can be checkpointed, for a drain if
 * they can be checkpointed or it is a service, and for an overrun once the longest run time of its profile has
 * passed since the placement. Other causes are not allowed: a cancellation has a command of its own.
 */
Reason testStop(const Tables &tables, const RecordContext &context, AttemptRef attempt, StopCause cause)
{
    const auto &profileSpec = profileSpecOf(tables, attempt);
    switch (cause) {
    case StopCause::Preempted:
        return profileSpec.checkpoint ? Reason::None : Reason::AttemptNotStoppable;
    case StopCause::Drained: {
        const bool isMovable = profileSpec.checkpoint || profileSpec.kind == WorkKind::Service;
        return isMovable ? Reason::None : Reason::AttemptNotStoppable;
    }
    case StopCause::Overrun: {
        const auto placedAt = tables.attempts.get<AttemptState>(attempt).placedAt;
        const bool isOverrun =
            profileSpec.maxRun > Milliseconds::zero() && context.time >= placedAt + profileSpec.maxRun;
        return isOverrun ? Reason::None : Reason::AttemptNotStoppable;
    }
    default:
        return Reason::AttemptNotStoppable;
    }
}

/**
 * Tests each attempt of a command, executes a function on those that pass, and counts the results.
 * @param test Called with the AttemptRef; returns `None` if the attempt passes, otherwise the reason against it.
 * @param execute Called with the AttemptRef if the attempt passed the test, unless `phase` is Phase::Test.
 * @return The counts, and the reason of the last attempt that failed the test.
 */
template<typename Test, typename Execute>
CommandResult
forEachAttempt(Tables &tables, const std::vector<AttemptNumber> &numbers, Phase phase, Test &&test, Execute &&execute)
{
    CommandResult result;
    for (const auto number : numbers) {
        const auto attempt = findRef(tables.lookups.attempts, number);
        const auto reason = attempt.isSet() ? test(attempt) : Reason::AttemptUnknown;
        if (reason != Reason::None) {
            result.lastPartReason = reason;
            ++result.rejected;
            continue;
        }
        ++result.accepted;
        if (phase == Phase::Execute) {
            execute(attempt);
        }
    }
    return result;
}

} // namespace

CommandResult apply(Tables &tables, const RecordContext &context, const PlaceTasks &command, Phase phase)
{
    CommandResult result;
    PlacementReservations reservations;
    GangCompleteness gangs(tables, command);
    std::vector<Placement> passed;
    for (const auto &it : command.placements) {
        if (const auto reason = testPlacementInGang(tables, it, reservations, gangs); reason != Reason::None) {
            result.lastPartReason = reason;
            ++result.rejected;
            continue;
        }
        reservePlacement(tables, it, reservations);
        passed.push_back(it);
    }
    if (command.allOrNone && result.rejected > 0) {
        result.reason = Reason::GangIncomplete;
        result.rejected = static_cast<std::uint32_t>(command.placements.size());
        return result;
    }
    result.accepted = static_cast<std::uint32_t>(passed.size());
    if (phase == Phase::Execute) {
        for (const auto &it : passed) {
            beginAttempt(tables, context, it);
        }
    }
    return result;
}

CommandResult apply(Tables &tables, const RecordContext &context, const EndAttempts &command, Phase phase)
{
    CommandResult result;
    for (const auto &it : command.ends) {
        const auto attempt = findRef(tables.lookups.attempts, it.attempt);
        if (!attempt.isSet()) {
            result.lastPartReason = Reason::AttemptUnknown;
            ++result.rejected;
            continue;
        }
        ++result.accepted;
        if (phase == Phase::Execute) {
            endAttempt(tables, context, attempt, it);
        }
    }
    return result;
}

CommandResult apply(Tables &tables, const RecordContext &context, const MarkLapsing &command, Phase phase)
{
    const auto test = [&](AttemptRef it) {
        return testLeaseExpiry(tables, context, it);
    };
    const auto execute = [&](AttemptRef it) {
        auto &state = tables.attempts.get<AttemptState>(it);
        if (!state.lapsing) {
            state.lapsing = true;
            state.lapsingOffset = context.offset;
        }
    };
    return forEachAttempt(tables, command.attempts, phase, test, execute);
}

CommandResult apply(Tables &tables, const RecordContext &context, const ConfirmLapsed &command, Phase phase)
{
    const auto test = [&](AttemptRef it) {
        const bool isMarked = tables.attempts.get<AttemptState>(it).lapsing;
        return isMarked ? testLeaseExpiry(tables, context, it) : Reason::AttemptNotLapsing;
    };
    const auto execute = [&](AttemptRef it) {
        const auto number = tables.attempts.get<AttemptIdentity>(it).number;
        endAttempt(tables, context, it, {number, Outcome::Lost, {}});
    };
    return forEachAttempt(tables, command.attempts, phase, test, execute);
}

CommandResult apply(Tables &tables, const RecordContext &context, const StopAttempts &command, Phase phase)
{
    const auto test = [&](AttemptRef it) {
        return testStop(tables, context, it, command.cause);
    };
    const auto execute = [&](AttemptRef it) {
        auto &state = tables.attempts.get<AttemptState>(it);
        if (state.stop == StopCause::None) {
            state.stop = command.cause;
        }
    };
    return forEachAttempt(tables, command.attempts, phase, test, execute);
}

} // namespace flamingotally
