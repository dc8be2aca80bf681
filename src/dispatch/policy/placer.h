/** @file placer.h Places the tasks of one group, one by one or as a gang. */
#pragma once

#include "dispatch/policy/capacity_reservation.h"
#include "dispatch/policy/gang_capacity.h"
#include "dispatch/policy/team_limit.h"
#include "dispatch/policy/worker_search.h"

namespace flamingotally::dispatch
{

/**
 * Places tasks of one group.
 * @tparam Choice Scores the candidate workers.
 */
template<WorkerChoice Choice>
class Placer
{
public:
    Placer(Entry &entry, GroupRef group, const TickTime &time)
        : m_entry(entry), m_time(time), m_evaluation(entry, group, time), m_search(entry, m_evaluation)
    {
    }

    Placer(const Placer &) = delete;
    Placer &operator=(const Placer &) = delete;

    /**
     * Places as many tasks as possible.
     * @return Number of tasks placed.
     */
    std::uint32_t place()
    {
        if (isUnplaceable() || !m_evaluation.hasValidTickets()) {
            return 0;
        }
        const auto placed = m_evaluation.step().gang ? placeGang() : placeSingles();
        if (placed == 0 && !hasCapacityAnywhere()) {
            const auto &step = m_evaluation.step();
            m_entry.work.pass.unplaceable.push_back(
                {m_evaluation.policy().pool, step.requiredLabel, m_evaluation.demand(), m_evaluation.duration()});
        }
        return placed;
    }

    /**
     * Returns true if a request for tickets could lead to a placement: a worker that may run the step, but has no valid
     * ticket, has capacity. After a search that found none, it is repeated only after `searchPause`.
     */
    bool lacksTickets()
    {
        auto &advice = m_entry.work.groups.get<GroupAdvice>(m_evaluation.group());
        if (m_time.now < advice.searchAt || isUnplaceable()) {
            return false;
        }
        const bool isFound = std::ranges::any_of(m_evaluation.pool().workers, [this](WorkerRef worker) {
            ++m_entry.counters.workersExamined;
            return m_evaluation.hasCapacity(worker) && m_evaluation.isEligible(worker)
                && m_evaluation.isBelowWorkerLimit(worker) && m_evaluation.evaluateTicket(worker) == Fit::NeedsTicket;
        });
        advice.searchAt = isFound ? MonotonicTime{} : m_time.now + searchPause;
        return isFound;
    }

    /** Returns true if another task of the group would exceed the team's limit. */
    bool isAtLimit() const
    {
        return !isWithinTeamLimit(m_entry, m_evaluation.group(), m_evaluation.step().perTask);
    }

    /**
     * Plans where the gang will run, and reserves that capacity for the rest of the pass; see GangCapacity.
     * @return True if a request for tickets could lead to a placement.
     */
    bool reserveForGang(bool isUseful)
    {
        return GangCapacity(m_entry, m_evaluation, m_time).update(isUseful);
    }

    /** Reserves capacity for the tasks that were not placed, for the rest of the pass. */
    void reserveCapacity()
    {
        CapacityReservation(m_entry, m_evaluation, m_time).reserveCapacity();
    }

private:
    static constexpr Milliseconds searchPause{50}; ///< Between two searches of a group for workers to ask about.

    /** Returns true if a worker of the pool has capacity for a task, whether it may run the step or not. */
    bool hasCapacityAnywhere() const
    {
        return std::ranges::any_of(m_evaluation.pool().workers, [this](WorkerRef worker) {
            ++m_entry.counters.workersExamined;
            return m_evaluation.hasCapacity(worker)
                && m_evaluation.hasLabel(m_entry.workers.table.get<WorkerIdentity>(worker));
        });
    }

    /**
     * Returns true if no worker has capacity: a task needs more than any had free at the start of the pass, or an
     * earlier group of the pass with the same or a smaller demand found none.
     */
    bool isUnplaceable() const
    {
        if (!m_evaluation.demand().fitsInto(m_evaluation.pool().mostFree)) {
            return true;
        }
        return std::ranges::any_of(m_entry.work.pass.unplaceable, [&](const UnplaceableDemand &it) {
            return it.pool == m_evaluation.policy().pool && it.demand.fitsInto(m_evaluation.demand())
                && (m_entry.work.pass.reservedForGangs == 0 || it.duration <= m_evaluation.duration())
                && (it.label.empty() || it.label == m_evaluation.step().requiredLabel);
        });
    }

    /** Places waiting tasks one by one until no worker fits or the team's limit is reached. */
    std::uint32_t placeSingles()
    {
        std::uint32_t placed = 0;
        const auto tasks = m_entry.work.groups.get<GroupState>(m_evaluation.group()).tasks;
        for (const auto it : tasks) {
            const auto &task = m_entry.work.tasks.get<TaskState>(it);
            if (task.phase != TaskPhase::Waiting || m_time.now < task.readyAt) {
                continue;
            }
            const auto worker = isWithinTeamLimit(m_entry, m_evaluation.group(), m_evaluation.step().perTask)
                ? m_search.choose(task, {})
                : WorkerRef{};
            if (!worker.isSet()) {
                break;
            }
            placeTask(m_entry, it, worker, task.lastRun + 1, m_time);
            ++placed;
        }
        return placed;
    }

    /**
     * Reserves capacity for all members of a gang.
     * @param rack Rack that all workers must be in; empty for any.
     * @return False when a member fits on no worker; then nothing is reserved.
     */
    bool reserveAll(const std::vector<TaskRef> &tasks, const std::string &rack)
    {
        for (const auto it : tasks) {
            const auto worker = m_search.choose(m_entry.work.tasks.get<TaskState>(it), rack);
            if (!worker.isSet()) {
                m_evaluation.takeMembers();
                return false;
            }
            m_evaluation.addMember({it, worker});
        }
        return true;
    }

    /** Reserves capacity for all members of a gang in one rack. Returns false when no rack has enough. */
    bool reserveInOneRack(const std::vector<TaskRef> &tasks)
    {
        std::vector<std::string> racks;
        m_entry.workers.table.forEach([&](WorkerRef worker) {
            const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
            if (identity.pool == m_evaluation.policy().pool && std::ranges::find(racks, identity.rack) == racks.end()) {
                racks.push_back(identity.rack);
            }
        });
        return std::ranges::any_of(racks, [&](const std::string &rack) { return reserveAll(tasks, rack); });
    }

    /** Places all tasks of a gang, under one run number and with one checkpoint, or none of them. */
    std::uint32_t placeGang()
    {
        const auto tasks = m_entry.work.groups.get<GroupState>(m_evaluation.group()).tasks;
        RunNumber number = 0;
        std::string checkpoint;
        for (const auto it : tasks) {
            const auto &task = m_entry.work.tasks.get<TaskState>(it);
            if (task.phase != TaskPhase::Waiting || task.run.isSet() || m_time.now < task.readyAt) {
                return 0;
            }
            number = std::max(number, task.lastRun);
            checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
        }
        if (!isWithinTeamLimit(
                m_entry, m_evaluation.group(), m_evaluation.step().perTask * static_cast<std::int64_t>(tasks.size()))) {
            return 0;
        }
        const bool isReserved = (m_evaluation.step().rackBound && reserveInOneRack(tasks)) || reserveAll(tasks, {});
        if (!isReserved) {
            return 0;
        }
        const auto members = m_evaluation.takeMembers();
        for (const auto &it : members) {
            m_entry.work.tasks.get<TaskState>(it.task).checkpoint = checkpoint;
            placeTask(m_entry, it.task, it.worker, number + 1, m_time);
        }
        return static_cast<std::uint32_t>(members.size());
    }

    Entry &m_entry;
    const TickTime &m_time;
    WorkerEvaluation m_evaluation;
    WorkerSearch<Choice> m_search; ///< Refers to m_evaluation.
};

} // namespace flamingotally::dispatch
