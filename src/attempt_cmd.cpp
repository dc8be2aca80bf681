#include "attempt_cmd.h"

#include "attempt_func.h"
#include "config_func.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Determines which gangs a command places completely. Caches the result for each job. */
class GangCompleteness
{
public:
    GangCompleteness(const Tables &tables, const PlaceTasks &command) : m_tables(tables), m_allOrNone(command.allOrNone)
    {
        for (const auto &it : command.placements) {
            m_placed.insert(it.task.index);
        }
    }

    /** Returns whether the command is all-or-none and places every task of the job that has not ended. */
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

/** Tests whether the proposer may let a lease expire without a report from the worker. */
Reason testLeaseExpiry(const Tables &tables, const RecordContext &context, AttemptRef attempt)
{
    if (profileSpecOf(tables, attempt).whenCutOff == CutOffRule::Move) {
        return Reason::None;
    }
    return isInDaemonDomain(tables, attempt, context.proposer) ? Reason::None : Reason::LeaseKept;
}

Reason testStop(const Tables &tables, const RecordContext &context, AttemptRef attempt, StopCause cause)
{
    const auto &profileSpec = profileSpecOf(tables, attempt);
    switch (cause) {
    case StopCause::Preempted:
        return profileSpec.checkpoint ? Reason::None : Reason::AttemptNotStoppable;
    case StopCause::Drained: {
        const bool mayMove = profileSpec.checkpoint || profileSpec.kind == WorkKind::Service;
        return mayMove ? Reason::None : Reason::AttemptNotStoppable;
    }
    case StopCause::Overrun: {
        const auto placedAt = tables.attempts.get<AttemptState>(attempt).placedAt;
        const bool isOver = profileSpec.maxRun > Milliseconds::zero() && context.time >= placedAt + profileSpec.maxRun;
        return isOver ? Reason::None : Reason::AttemptNotStoppable;
    }
    default:
        return Reason::AttemptNotStoppable;
    }
}

/**
 * Tests each attempt of a command, executes a function on those that pass, and counts the results.
 * @param test Called with the AttemptRef; returns a Reason.
 * @param execute Called with the AttemptRef if it passed the test and the phase is Phase::Execute.
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
            result.partReason = reason;
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
            result.partReason = reason;
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
            result.partReason = Reason::AttemptUnknown;
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
