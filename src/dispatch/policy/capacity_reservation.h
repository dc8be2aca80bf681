/** @file capacity_reservation.h Reserves capacity for tasks of one group that cannot be placed yet. */
#pragma once

#include "dispatch/entry_func.h"
#include "dispatch/policy/team_limit.h"
#include "dispatch/policy/worker_evaluation.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

/** Reserves capacity for the waiting tasks of one group, for the rest of the pass. */
class CapacityReservation
{
public:
    CapacityReservation(Entry &entry, const WorkerEvaluation &evaluation, const TickTime &time)
        : m_entry(entry), m_evaluation(evaluation), m_time(time)
    {
    }

    /** Reserves capacity for the group's tasks that wait for a ticket's renewal or are large. */
    void reserveCapacity()
    {
        const auto waiting = readyTasks(m_entry, m_evaluation.group(), m_time);
        if (waiting == 0 || !isWithinTeamLimit(m_entry, m_evaluation.group(), m_evaluation.step().perTask)) {
            return;
        }
        const auto unreserved = waiting - reserveForRenewals(waiting);
        const auto waited = m_time.now - m_entry.work.groups.get<GroupState>(m_evaluation.group()).openedAt;
        const bool mayReserve = waited > largeTaskWait && m_entry.work.pass.largeReservations < maxLargeReservations;
        if (unreserved > 0 && mayReserve && !isBeyondPool(unreserved)) {
            reserveForLargeTask();
        }
    }

private:
    /** A worker is reserved for a large task once its group has been open for longer. */
    static constexpr Milliseconds largeTaskWait{300};
    static constexpr std::uint32_t maxLargeReservations = 32; ///< Maximum reservations for large tasks in a pass.
    static constexpr Milliseconds stallTime{15'000}; ///< See isStalled().
    /** A task that needs more than 1/4 of a resource of a worker is large there. */
    static constexpr std::int64_t largeDivisor = 4;

    /**
     * Reserves capacity on the workers whose tickets are being renewed.
     * @param limit Maximum number of tasks to reserve for.
     * @return Number of tasks reserved for.
     */
    std::size_t reserveForRenewals(std::size_t limit)
    {
        std::size_t n = 0;
        for (const auto worker : m_entry.work.groups.get<GroupAdvice>(m_evaluation.group()).renewing) {
            if (n < limit && isInPass(m_entry, worker) && m_evaluation.evaluate(worker) == Fit::NeedsTicket) {
                reserve(worker);
                ++n;
            }
        }
        return n;
    }

    /** Reserves capacity for one task on a worker for the rest of the pass. */
    void reserve(WorkerRef worker)
    {
        loadInPass(m_entry, worker).reserved += m_evaluation.demand();
    }

    /** Returns true if a task needs more than 1/4 of any resource of a worker with the given capacity. */
    bool isLargeOn(const Resources &capacity) const
    {
        return m_evaluation.demand().cpuMilli * largeDivisor > capacity.cpuMilli
            || m_evaluation.demand().memoryMb * largeDivisor > capacity.memoryMb
            || (capacity.accelerators > 0 && m_evaluation.demand().accelerators * largeDivisor > capacity.accelerators);
    }

    /**
     * Returns true if a gang needs more workers than may run it, even if they ran nothing else. No capacity is reserved
     * for it, as it could not use any.
     */
    bool isBeyondPool(std::size_t waiting) const
    {
        if (!m_evaluation.step().gang) {
            return false;
        }
        std::size_t places = 0;
        for (const auto worker : m_evaluation.pool().workers) {
            const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
            ++m_entry.counters.workersExamined;
            if (m_evaluation.hasLabel(identity) && m_evaluation.permissionOf(worker) != Permission::Refused) {
                places += m_evaluation.tasksIn(identity.capacity);
            }
            if (places >= waiting) {
                return false;
            }
        }
        return true;
    }

    /**
     * Reserves capacity for a large task on the worker that is closest to having enough of it free, of those on which
     * capacity becomes free at all. How long the runs on a worker will take is not known, as estimates may be wrong.
     */
    void reserveForLargeTask()
    {
        WorkerRef best;
        std::pair bestKey(false, -1.0);
        m_entry.counters.workersExamined += m_evaluation.permittedWorkers().size();
        for (const auto worker : m_evaluation.permittedWorkers()) {
            if (!mayReserveForLargeTask(worker)) {
                continue;
            }
            if (const std::pair key(!isStalled(worker), freePart(worker)); key > bestKey) {
                best = worker;
                bestKey = key;
            }
        }
        if (best.isSet()) {
            updateProgress(best);
            reserveLarge(best);
            ++m_entry.work.pass.largeReservations;
        }
    }

    /** Returns true if a worker was reserved of late and has had no more capacity free for `stallTime` meanwhile. */
    bool isStalled(WorkerRef worker) const
    {
        const auto &load = m_entry.workers.table.get<WorkerLoad>(worker);
        return isContinued(load.large) && load.large.leastUsed.fitsInto(load.used)
            && m_time.now - load.large.progressAt > stallTime;
    }

    /** Returns true if a reservation of a worker continues an earlier one. */
    bool isContinued(const LargeReservation &large) const
    {
        return large.reservedAt != MonotonicTime{} && m_time.now - large.reservedAt < stallTime;
    }

    /** Notes whether a worker that is being reserved has more capacity free than before. */
    void updateProgress(WorkerRef worker)
    {
        auto &load = loadInPass(m_entry, worker);
        auto &large = load.large;
        if (!isContinued(large)) {
            large.leastUsed = load.used;
            large.progressAt = m_time.now;
            large.stallLogged = false;
        } else if (!large.leastUsed.fitsInto(load.used)) {
            large.leastUsed = {std::min(large.leastUsed.cpuMilli, load.used.cpuMilli),
                               std::min(large.leastUsed.memoryMb, load.used.memoryMb),
                               std::min(large.leastUsed.accelerators, load.used.accelerators)};
            large.progressAt = m_time.now;
            large.stallLogged = false;
        }
        large.reservedAt = m_time.now;
    }

    /** Reserves capacity for a large task on a worker for the rest of the pass. */
    void reserveLarge(WorkerRef worker)
    {
        auto &large = loadInPass(m_entry, worker).large;
        large.amount = m_evaluation.demand();
        large.isStalled = isStalled(worker);
        const auto pool = std::ranges::find(m_entry.work.pass.pools, m_evaluation.policy().pool, &PassPool::name);
        if (!large.isStalled && pool != m_entry.work.pass.pools.end() && pool->firmlyReserved < firmLimit(*pool)) {
            large.isFirm = true;
            ++pool->firmlyReserved;
        }
        if (large.isStalled) {
            ++m_entry.work.pass.stalledReservations;
            logStall(worker);
        }
    }

    /** Logs once that no capacity becomes free on a reserved worker. */
    void logStall(WorkerRef worker)
    {
        auto &load = m_entry.workers.table.get<WorkerLoad>(worker);
        if (std::exchange(load.large.stallLogged, true)) {
            return;
        }
        const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
        const auto &group = m_entry.work.groups.get<GroupIdentity>(m_evaluation.group());
        const auto free = identity.capacity - load.used;
        logEvent(m_entry,
                 EventKind::ReservationStalled,
                 m_entry.jobs.table.get<JobIdentity>(group.job).id,
                 "step={} worker={} for_ms={} runs={} needs_cpu={} free_cpu={} needs_accelerators={} "
                 "free_accelerators={}",
                 group.step,
                 identity.id,
                 (m_time.now - load.large.progressAt).count(),
                 load.runs.size(),
                 m_evaluation.demand().cpuMilli,
                 free.cpuMilli,
                 m_evaluation.demand().accelerators,
                 free.accelerators);
    }

    /** Returns true if a task is large on a worker that could run it once the runs there that end have ended. */
    bool mayReserveForLargeTask(WorkerRef worker) const
    {
        if (!m_evaluation.isEligible(worker)) {
            return false;
        }
        const auto &capacity = m_entry.workers.table.get<WorkerIdentity>(worker).capacity;
        const auto attainable = capacity - m_entry.workers.table.get<WorkerLoad>(worker).usedByEndless;
        return isLargeOn(capacity) && m_evaluation.demand().fitsInto(attainable)
            && m_evaluation.allReservedOn(worker) == Resources{} && m_evaluation.isBelowWorkerLimit(worker);
    }

    /** Returns the part of the scarcest resource of a task that is free on a worker, 1 at most. */
    double freePart(WorkerRef worker) const
    {
        const auto &capacity = m_entry.workers.table.get<WorkerIdentity>(worker).capacity;
        const auto free = capacity - m_entry.workers.table.get<WorkerLoad>(worker).used;
        const auto part = [](std::int64_t has, std::int64_t needs) {
            return needs > 0 ? std::min(1.0, static_cast<double>(has) / static_cast<double>(needs)) : 1.0;
        };
        return std::min({part(free.cpuMilli, m_evaluation.demand().cpuMilli),
                         part(free.memoryMb, m_evaluation.demand().memoryMb),
                         part(free.accelerators, m_evaluation.demand().accelerators)});
    }

    Entry &m_entry;
    const WorkerEvaluation &m_evaluation;
    const TickTime &m_time;
};

} // namespace flamingotally::dispatch
