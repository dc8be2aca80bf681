/** @file worker_evaluation.h Evaluates workers for a task of one group, by free capacity, step, label and ticket. */
#pragma once

#include "dispatch/policy/pass_workers.h"
#include "dispatch/policy/reservation_window.h"
#include "dispatch/work_func.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace flamingotally::dispatch
{

/** Result of evaluating a worker for a task. */
enum class Fit : std::uint8_t {
    Fits,
    NeedsTicket, ///< The worker has capacity, but no valid ticket for the step.
    NoCapacity,
    Ineligible, ///< The worker may not run the step, or accepts no tasks.
    End,
};

/** Whether the policy service allows a worker to run the step. */
enum class Permission : std::uint8_t {
    Granted, ///< It does, or the step needs no ticket; a ticket may have expired since.
    Undecided, ///< It has not been asked.
    Refused,
};

/** A member of a gang that has capacity reserved on a worker while the rest of its gang is being placed. */
struct GangMember {
    TaskRef task;
    WorkerRef worker;
};

/** Evaluates workers for one more task of a group. */
class WorkerEvaluation
{
public:
    WorkerEvaluation(const Entry &entry, GroupRef group, const TickTime &time)
        : m_entry(entry), m_group(group), m_time(time), m_step(stepOf(entry, group)), m_policy(policyOf(entry, group)),
          m_tickets(entry.work.groups.get<GroupAdvice>(group).tickets), m_demand(demandOf(m_step)),
          m_duration(m_step.gang || m_step.endless || m_step.runEstimate == Milliseconds{0} ? Milliseconds::max()
                                                                                            : m_step.runEstimate),
          m_isWindowOpen(isWindowOpen(pool().halfFreeSince, m_demand, time.now))
    {
    }

    /** Evaluates a worker for one more task of the group, by free capacity, step and ticket. */
    Fit evaluate(WorkerRef worker) const
    {
        if (!hasCapacity(worker) || !isBelowWorkerLimit(worker)) {
            return Fit::NoCapacity;
        }
        const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
        return acceptsTasks(m_entry, worker, m_time) && matches(identity) ? evaluateTicket(worker) : Fit::Ineligible;
    }

    /** Returns true if a worker accepts tasks and could run the group's, regardless of its current load and tickets. */
    bool isUsable(WorkerRef worker) const
    {
        const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
        return m_demand.fitsInto(identity.capacity) && matches(identity) && acceptsTasks(m_entry, worker, m_time);
    }

    /** Returns the workers of the group's pool that accept tasks in this pass. */
    const PassPool &pool() const
    {
        return poolInPass(m_entry, m_policy.pool);
    }

    /** Returns the workers on which a task could be placed: those of the pool, or those with a granted ticket. */
    const std::vector<WorkerRef> &permittedWorkers() const
    {
        return m_policy.advice.required ? m_entry.work.groups.get<GroupAdvice>(m_group).granted : pool().workers;
    }

    /** Returns true if a worker accepts tasks in this pass, belongs to the group's pool and has the required label. */
    bool isEligible(WorkerRef worker) const
    {
        return isInPass(m_entry, worker) && matches(m_entry.workers.table.get<WorkerIdentity>(worker));
    }

    /** Returns the time of the pass. */
    MonotonicTime now() const
    {
        return m_time.now;
    }

    /** Returns true if the worker has free and unreserved capacity for one more task. */
    bool hasCapacity(WorkerRef worker) const
    {
        if (m_time.now < m_entry.workers.table.get<WorkerHealth>(worker).exclusiveUntil) {
            return false;
        }
        const auto &capacity = m_entry.workers.table.get<WorkerIdentity>(worker).capacity;
        return m_demand.fitsInto(capacity - m_entry.workers.table.get<WorkerLoad>(worker).used - reservedOn(worker));
    }

    /** Returns how many more tasks of the group fit into free capacity, at most as many as the step allows on a worker.
     */
    std::size_t tasksIn(const Resources &free) const
    {
        const auto times = [](std::int64_t has, std::int64_t needs) {
            return needs > 0 ? std::max<std::int64_t>(has, 0) / needs : std::numeric_limits<std::int64_t>::max();
        };
        const auto n = std::min({times(free.cpuMilli, m_demand.cpuMilli),
                                 times(free.memoryMb, m_demand.memoryMb),
                                 times(free.accelerators, m_demand.accelerators),
                                 std::int64_t{std::numeric_limits<std::uint16_t>::max()}});
        return static_cast<std::size_t>(m_step.maxPerWorker == 0 ? n : std::min<std::int64_t>(n, m_step.maxPerWorker));
    }

    /** Returns true if the worker has the label that the step requires, if any. */
    bool hasLabel(const WorkerIdentity &identity) const
    {
        return m_step.requiredLabel.empty()
            || std::ranges::find(identity.labels, m_step.requiredLabel) != identity.labels.end();
    }

    /** Returns true if the worker runs fewer tasks of the group than the step allows on one worker. */
    bool isBelowWorkerLimit(WorkerRef worker) const
    {
        return m_step.maxPerWorker == 0 || sameGroupOn(worker) < m_step.maxPerWorker;
    }

    /** Evaluates the ticket for a worker; returns Fits when the step needs none. */
    Fit evaluateTicket(WorkerRef worker) const
    {
        if (!m_policy.advice.required) {
            return Fit::Fits;
        }
        const auto it = m_tickets.find(worker);
        if (it == m_tickets.end()) {
            return Fit::NeedsTicket;
        }
        if (!it->second.granted) {
            return Fit::Ineligible;
        }
        return hasTicketAt(worker, m_time.now) ? Fit::Fits : Fit::NeedsTicket;
    }

    /** Returns true if the ticket for a worker is valid at a time, and for `ticketMargin` after that. */
    bool hasTicketAt(WorkerRef worker, MonotonicTime at) const
    {
        const auto it = m_tickets.find(worker);
        return it != m_tickets.end() && it->second.granted && it->second.validUntil - ticketMargin > at
            && it->second.incarnation == m_entry.workers.table.get<WorkerLink>(worker).incarnation;
    }

    /** Returns whether the policy service allows a worker to run the step. */
    Permission permissionOf(WorkerRef worker) const
    {
        if (!m_policy.advice.required) {
            return Permission::Granted;
        }
        const auto it = m_tickets.find(worker);
        if (it == m_tickets.end()) {
            return Permission::Undecided;
        }
        return it->second.granted ? Permission::Granted : Permission::Refused;
    }

    /** Returns false if all tickets of the group have expired. */
    bool hasValidTickets() const
    {
        const auto validUntil = m_entry.work.groups.get<GroupAdvice>(m_group).validUntil;
        return !m_policy.advice.required || validUntil - ticketMargin > m_time.now;
    }

    /**
     * Returns the capacity of a worker that tasks of the group may not use in this pass: what is reserved for earlier
     * groups, this group, and members of its gang. What is reserved for planned gangs may be used by tasks that will
     * have ended when the gangs can use it, and what is reserved in vain for longer by all; see reservation_window.h.
     */
    Resources reservedOn(WorkerRef worker) const
    {
        const auto &load = m_entry.workers.table.get<WorkerLoad>(worker);
        auto kept = allReservedOn(worker);
        if (!isReservedInPass(load)) {
            return kept;
        }
        const bool endsInTime = m_duration <= load.gangsReadyAt - m_time.now;
        if (endsInTime || (m_isWindowOpen && firmLimit(pool()) == 0)) {
            kept -= load.reservedForGangs;
        }
        return mayUseLargeReservation(load) ? kept - load.large.amount : kept;
    }

    /** Returns true if a task would use capacity of a worker that is reserved for a large one. */
    bool usesLargeReservation(WorkerRef worker) const
    {
        const auto &load = m_entry.workers.table.get<WorkerLoad>(worker);
        return isReservedInPass(load) && load.large.amount != Resources{} && mayUseLargeReservation(load);
    }

    /** Returns all capacity reserved on a worker in this pass: for earlier groups, this group, members of its gang. */
    Resources allReservedOn(WorkerRef worker) const
    {
        const auto &load = m_entry.workers.table.get<WorkerLoad>(worker);
        auto sum = isReservedInPass(load) ? load.reserved + load.reservedForGangs + load.large.amount : Resources{};
        for (const auto &it : m_members) {
            if (it.worker == worker) {
                sum += m_demand;
            }
        }
        return sum;
    }

    /** Reserves capacity for a member of a gang, until takeMembers(). */
    void addMember(const GangMember &member)
    {
        m_members.push_back(member);
    }

    /** Returns the members of the gang that have capacity reserved, and releases it. */
    std::vector<GangMember> takeMembers()
    {
        return std::exchange(m_members, {});
    }

    GroupRef group() const
    {
        return m_group;
    }

    const StepSpec &step() const
    {
        return m_step;
    }

    const JobPolicy &policy() const
    {
        return m_policy;
    }

    /** Returns the expected duration of a run; the maximum if it is not known or the group is a gang. */
    Milliseconds duration() const
    {
        return m_duration;
    }

    /** Returns the capacity that one task uses on its worker. */
    const Resources &demand() const
    {
        return m_demand;
    }

private:
    /** Minimum remaining validity of a ticket, so that the start order arrives in time. */
    static constexpr Milliseconds ticketMargin{200};

    /** Returns true if the reservations on a worker were made in this pass. */
    bool isReservedInPass(const WorkerLoad &load) const
    {
        return load.reservedInPass == m_entry.work.pass.number;
    }

    bool mayUseLargeReservation(const WorkerLoad &load) const
    {
        return load.large.isStalled || (m_isWindowOpen && !load.large.isFirm);
    }

    /** Returns true if a worker belongs to the group's pool and has the required label. */
    bool matches(const WorkerIdentity &identity) const
    {
        return identity.pool == m_policy.pool && hasLabel(identity);
    }

    /** Returns the number of tasks of the group on a worker, including reserved members of its gang. */
    std::uint32_t sameGroupOn(WorkerRef worker) const
    {
        std::uint32_t n = 0;
        for (const auto run : m_entry.workers.table.get<WorkerLoad>(worker).runs) {
            const auto task = m_entry.work.runs.get<RunIdentity>(run).task;
            n += m_entry.work.tasks.get<TaskIdentity>(task).group == m_group ? 1 : 0;
        }
        for (const auto &it : m_members) {
            n += it.worker == worker ? 1 : 0;
        }
        return n;
    }

    const Entry &m_entry;
    GroupRef m_group;
    const TickTime &m_time;
    const StepSpec &m_step;
    const JobPolicy &m_policy;
    const absl::flat_hash_map<WorkerRef, Ticket> &m_tickets;
    Resources m_demand;
    Milliseconds m_duration; ///< See duration().
    bool m_isWindowOpen; ///< See isWindowOpen().
    std::vector<GangMember> m_members; ///< Members of the gang that have capacity reserved.
};

} // namespace flamingotally::dispatch
