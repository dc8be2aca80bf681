/** @file placer.h Places the tasks of one group: evaluates workers, free capacity and limits. */
#pragma once

#include "dispatch/entry_func.h"
#include "dispatch/policy/worker_choice.h"
#include "dispatch/work_func.h"

#include <algorithm>
#include <limits>

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

/** Capacity that is reserved for a task while its gang is being placed. */
struct Reservation {
    TaskRef task;
    WorkerRef worker;
};

/** Returns true if a worker is listed and responds, is neither draining nor avoided, and its domain is in service. */
inline bool acceptsTasks(const Entry &entry, WorkerRef worker, const TickTime &time)
{
    constexpr Milliseconds responseAgeLimit{1'900}; // workers whose last response is older get no tasks
    const auto &health = entry.workers.table.get<WorkerHealth>(worker);
    const auto &link = entry.workers.table.get<WorkerLink>(worker);
    if (!health.listed || health.draining || !link.hasResponded || link.missedPolls > 0 || time.now < health.avoidUntil
        || time.now - link.lastResponseAt > responseAgeLimit) {
        return false;
    }
    const auto &out = entry.config.domainsOut;
    return std::ranges::find(out, entry.workers.table.get<WorkerIdentity>(worker).domain) == out.end();
}

/**
 * Places tasks of one group.
 * @tparam Choice Scores the candidate workers.
 */
template<WorkerChoice Choice>
class Placer
{
public:
    Placer(Entry &entry, GroupRef group, const TickTime &time)
        : m_entry(entry), m_group(group), m_time(time), m_step(stepOf(entry, group)), m_policy(policyOf(entry, group)),
          m_tickets(entry.work.groups.get<GroupAdvice>(group).tickets), m_demand(demandOf(m_step))
    {
    }

    /**
     * Places as many tasks as possible.
     * @return Number of tasks placed.
     */
    std::uint32_t place()
    {
        if (isUnplaceable()) {
            return 0;
        }
        if (!hasValidTickets()) {
            m_lacksTickets = wouldUseTickets();
            return 0;
        }
        return m_step.gang ? placeGang() : placeSingles();
    }

    /** Returns true if place() found a worker that lacked only a ticket. */
    bool lacksTickets() const
    {
        return m_lacksTickets;
    }

    /** Evaluates a worker for one more task of the group, by free capacity, step and ticket. */
    Fit evaluate(WorkerRef worker) const
    {
        if (!hasCapacity(worker) || !isBelowWorkerLimit(worker)) {
            return Fit::NoCapacity;
        }
        const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
        return acceptsTasks(m_entry, worker, m_time) && matches(identity) ? evaluateTicket(worker, identity)
                                                                          : Fit::Ineligible;
    }

    /** Returns true if a worker accepts tasks and could run the group's, regardless of its current load and tickets. */
    bool isUsable(WorkerRef worker) const
    {
        const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
        return m_demand.fitsInto(identity.capacity) && matches(identity) && acceptsTasks(m_entry, worker, m_time);
    }

    /** Returns true if another task of the group would exceed the team's limit. */
    bool isAtLimit() const
    {
        return !isWithinLimit(m_step.perTask);
    }

    /**
     * Reserves capacity for the group's tasks that wait for a ticket's renewal or are large, for the rest of the pass.
     */
    void reserveCapacity()
    {
        auto waiting = waitingTasks();
        if (waiting == 0 || isAtLimit()) {
            return;
        }
        const auto &advice = m_entry.work.groups.get<GroupAdvice>(m_group);
        for (const auto &id : advice.renewing) {
            const auto it = m_entry.workers.byId.find(id);
            if (it != m_entry.workers.byId.end() && waiting > 0 && evaluate(it->second) == Fit::NeedsTicket) {
                reserve(it->second);
                --waiting;
            }
        }
        const auto waited = m_time.now - m_entry.work.groups.get<GroupState>(m_group).openedAt;
        const bool mayReserve = waited > largeTaskWait && m_entry.work.pass.largeReservations < maxLargeReservations;
        if (waiting > 0 && mayReserve && !isBeyondPool(waiting)) {
            reserveForLargeTask();
        }
    }

private:
    /** A worker is reserved for a large task once its group has been open for longer. */
    static constexpr Milliseconds largeTaskWait{300};
    static constexpr std::uint32_t maxLargeReservations = 32; ///< Maximum reservations for large tasks in a pass.
    /** A task that needs more than 1/4 of a resource of a worker is large there. */
    static constexpr std::int64_t largeDivisor = 4;
    /** A worker on which nothing was placed for this long is preferred for a task suspected of a crash. */
    static constexpr Milliseconds quietPeriod{500};
    /** Minimum remaining validity of a ticket, so that the start order arrives in time. */
    static constexpr Milliseconds ticketMargin{200};

    /** Returns false if all tickets of the group have expired. */
    bool hasValidTickets() const
    {
        const auto validUntil = m_entry.work.groups.get<GroupAdvice>(m_group).validUntil;
        return !m_policy.advice.required || validUntil - ticketMargin > m_time.now;
    }

    /** Returns true if a request for tickets could lead to a placement: a worker that may run the step has capacity. */
    bool wouldUseTickets() const
    {
        if (m_entry.work.groups.get<GroupAdvice>(m_group).pendingNumber != 0) {
            return false; // there is one already
        }
        return std::ranges::any_of(poolWorkers(), [this](WorkerRef worker) {
            const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
            return hasCapacity(worker) && hasLabel(identity) && permissionOf(identity.id) != Permission::Refused
                && isBelowWorkerLimit(worker);
        });
    }

    /** Returns true if a worker belongs to the group's pool and has the required label. */
    bool matches(const WorkerIdentity &identity) const
    {
        return identity.pool == m_policy.pool && hasLabel(identity);
    }

    bool hasLabel(const WorkerIdentity &identity) const
    {
        return m_step.requiredLabel.empty()
            || std::ranges::find(identity.labels, m_step.requiredLabel) != identity.labels.end();
    }

    /** Returns the workers of the group's pool that accept tasks in this pass. */
    const std::vector<WorkerRef> &poolWorkers() const
    {
        static const std::vector<WorkerRef> none;
        const auto &pools = m_entry.work.pass.pools;
        const auto it = std::ranges::find(pools, m_policy.pool, &PassPool::name);
        return it == pools.end() ? none : it->workers;
    }

    /**
     * Returns the capacity reserved on a worker in this pass: for earlier groups, this group, and members of its gang.
     */
    Resources reservedOn(WorkerRef worker) const
    {
        const auto &load = m_entry.workers.table.get<WorkerLoad>(worker);
        auto sum = load.reservedInPass == m_entry.work.pass.number ? load.reserved : Resources{};
        for (const auto &it : m_reserved) {
            if (it.worker == worker) {
                sum += m_demand;
            }
        }
        return sum;
    }

    /** Reserves capacity for one task on a worker for the rest of the pass. */
    void reserve(WorkerRef worker)
    {
        auto &load = m_entry.workers.table.get<WorkerLoad>(worker);
        if (std::exchange(load.reservedInPass, m_entry.work.pass.number) != m_entry.work.pass.number) {
            load.reserved = {};
        }
        load.reserved += m_demand;
    }

    bool hasCapacity(WorkerRef worker) const
    {
        if (m_time.now < m_entry.workers.table.get<WorkerHealth>(worker).trialUntil) {
            return false;
        }
        const auto &capacity = m_entry.workers.table.get<WorkerIdentity>(worker).capacity;
        return m_demand.fitsInto(capacity - m_entry.workers.table.get<WorkerLoad>(worker).used - reservedOn(worker));
    }

    /** Returns true if an earlier group of the pass with the same or a smaller demand found no capacity anywhere. */
    bool isUnplaceable() const
    {
        return std::ranges::any_of(m_entry.work.pass.unplaceable, [&](const UnplaceableDemand &it) {
            return it.pool == m_policy.pool && it.demand.fitsInto(m_demand)
                && (it.label.empty() || it.label == m_step.requiredLabel);
        });
    }

    /**
     * Finds the workers that can run a task of the group now. choose() needs no others, as free capacity only shrinks
     * in a pass.
     */
    void findCandidates()
    {
        m_isSearched = true;
        bool anyCapacity = false;
        m_entry.counters.workersEvaluated += poolWorkers().size();
        for (const auto worker : poolWorkers()) {
            const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
            if (!hasCapacity(worker) || !hasLabel(identity)) {
                continue;
            }
            anyCapacity = true;
            if (!isBelowWorkerLimit(worker)) {
                continue;
            }
            const auto fit = evaluateTicket(worker, identity);
            m_lacksTickets = m_lacksTickets || fit == Fit::NeedsTicket;
            if (fit == Fit::Fits) {
                m_candidates.push_back(worker);
            }
        }
        if (!anyCapacity) {
            m_entry.work.pass.unplaceable.push_back({m_policy.pool, m_step.requiredLabel, m_demand});
        }
    }

    /** Returns the number of tasks of the group on a worker, including members of the gang with reserved capacity. */
    std::uint32_t sameGroupOn(WorkerRef worker) const
    {
        std::uint32_t n = 0;
        for (const auto run : m_entry.workers.table.get<WorkerLoad>(worker).runs) {
            const auto task = m_entry.work.runs.get<RunIdentity>(run).task;
            n += m_entry.work.tasks.get<TaskIdentity>(task).group == m_group ? 1 : 0;
        }
        for (const auto &it : m_reserved) {
            n += it.worker == worker ? 1 : 0;
        }
        return n;
    }

    bool isBelowWorkerLimit(WorkerRef worker) const
    {
        return m_step.maxPerWorker == 0 || sameGroupOn(worker) < m_step.maxPerWorker;
    }

    /** Evaluates the ticket for a worker; returns Fits when the step needs none. */
    Fit evaluateTicket(WorkerRef worker, const WorkerIdentity &identity) const
    {
        if (!m_policy.advice.required) {
            return Fit::Fits;
        }
        const auto it = m_tickets.find(identity.id);
        if (it == m_tickets.end()) {
            return Fit::NeedsTicket;
        }
        if (!it->second.granted) {
            return Fit::Ineligible;
        }
        const bool isValid = it->second.validUntil - ticketMargin > m_time.now
            && it->second.incarnation == m_entry.workers.table.get<WorkerLink>(worker).incarnation;
        return isValid ? Fit::Fits : Fit::NeedsTicket;
    }

    /** Returns the properties by which a worker is scored for a task. */
    Candidate describe(WorkerRef worker, const TaskState &task) const
    {
        const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
        const auto &load = m_entry.workers.table.get<WorkerLoad>(worker);
        Candidate it;
        it.capacity = identity.capacity;
        it.freeAfter = identity.capacity - load.used - reservedOn(worker) - m_demand;
        it.isNearData = m_step.dataRack.empty() || m_step.dataRack == identity.rack;
        it.isAvoided = task.avoidedWorker == worker;
        it.wouldInterfere = (m_step.bestEffort && load.latencyBoundRuns > 0)
            || (m_step.targetResponse.count() > 0 && load.bestEffortRuns > 0);
        it.wouldConfuseTrial = task.crashWeight > 0 && m_time.now - load.placedAt < quietPeriod;
        it.failedInRow = m_entry.workers.table.get<WorkerHealth>(worker).failedInRow;
        return it;
    }

    /** Returns the number of tasks of the group that wait to be placed. */
    std::size_t waitingTasks() const
    {
        const auto &tasks = m_entry.work.groups.get<GroupState>(m_group).tasks;
        return static_cast<std::size_t>(std::ranges::count_if(
            tasks, [&](TaskRef it) { return m_entry.work.tasks.get<TaskState>(it).phase == TaskPhase::Waiting; }));
    }

    /** Returns true if a task needs more than 1/4 of any resource of a worker with the given capacity. */
    bool isLargeOn(const Resources &capacity) const
    {
        return m_demand.cpuMilli * largeDivisor > capacity.cpuMilli
            || m_demand.memoryMb * largeDivisor > capacity.memoryMb
            || (capacity.accelerators > 0 && m_demand.accelerators * largeDivisor > capacity.accelerators);
    }

    /** Whether the policy service allows a worker to run the step. */
    enum class Permission : std::uint8_t {
        Granted, ///< It does, or the step needs no ticket; a ticket may have expired since.
        Undecided, ///< It has not been asked.
        Refused,
    };

    Permission permissionOf(const std::string &id) const
    {
        if (!m_policy.advice.required) {
            return Permission::Granted;
        }
        const auto it = m_tickets.find(id);
        if (it == m_tickets.end()) {
            return Permission::Undecided;
        }
        return it->second.granted ? Permission::Granted : Permission::Refused;
    }

    /** Returns how many tasks of the group a worker with the given capacity could run if it ran nothing else. */
    std::size_t tasksOnEmptyWorker(const Resources &capacity) const
    {
        const auto times = [](std::int64_t has, std::int64_t needs) {
            return needs > 0 ? has / needs : std::numeric_limits<std::int64_t>::max();
        };
        const auto n = std::min({times(capacity.cpuMilli, m_demand.cpuMilli),
                                 times(capacity.memoryMb, m_demand.memoryMb),
                                 times(capacity.accelerators, m_demand.accelerators),
                                 std::int64_t{std::numeric_limits<std::uint16_t>::max()}});
        const auto limit = m_step.maxPerWorker == 0 ? n : std::min<std::int64_t>(n, m_step.maxPerWorker);
        return static_cast<std::size_t>(limit);
    }

    /**
     * Returns true if a gang needs more workers than may run it, even if they ran nothing else. No capacity is reserved
     * for it, as it could not use any.
     */
    bool isBeyondPool(std::size_t waiting) const
    {
        if (!m_step.gang) {
            return false;
        }
        std::size_t places = 0;
        for (const auto worker : poolWorkers()) {
            const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
            if (hasLabel(identity) && permissionOf(identity.id) != Permission::Refused) {
                places += tasksOnEmptyWorker(identity.capacity);
            }
            if (places >= waiting) {
                return false;
            }
        }
        return true;
    }

    /** Reserves capacity for a large task on the worker that is closest to having enough of it free. */
    void reserveForLargeTask()
    {
        WorkerRef best;
        double bestPart = -1;
        for (const auto worker : poolWorkers()) {
            const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
            const bool isCandidate = isLargeOn(identity.capacity) && m_demand.fitsInto(identity.capacity)
                && reservedOn(worker) == Resources{} && hasLabel(identity)
                && permissionOf(identity.id) == Permission::Granted && isBelowWorkerLimit(worker);
            if (!isCandidate) {
                continue;
            }
            const auto free = identity.capacity - m_entry.workers.table.get<WorkerLoad>(worker).used;
            const auto part = [](std::int64_t has, std::int64_t needs) {
                return needs > 0 ? std::min(1.0, static_cast<double>(has) / static_cast<double>(needs)) : 1.0;
            };
            const double least = std::min({part(free.cpuMilli, m_demand.cpuMilli),
                                           part(free.memoryMb, m_demand.memoryMb),
                                           part(free.accelerators, m_demand.accelerators)});
            if (least > bestPart) {
                best = worker;
                bestPart = least;
            }
        }
        if (best.isSet()) {
            reserve(best);
            ++m_entry.work.pass.largeReservations;
        }
    }

    /**
     * Returns the best worker for a task; unset when none fits.
     * @param rack Rack that the worker must be in; empty for any.
     */
    WorkerRef choose(const TaskState &task, const std::string &rack)
    {
        if (!m_isSearched) {
            findCandidates();
        }
        WorkerRef best;
        double bestScore = 0;
        for (const auto worker : m_candidates) {
            const bool isElsewhere = !rack.empty() && m_entry.workers.table.get<WorkerIdentity>(worker).rack != rack;
            if (isElsewhere || !hasCapacity(worker) || !isBelowWorkerLimit(worker)) {
                continue;
            }
            const double score = Choice::score(describe(worker, task));
            if (!best.isSet() || score > bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    /** Returns true if the team stays within its limit with the additional resources. */
    bool isWithinLimit(const Resources &more) const
    {
        const auto job = m_entry.work.groups.get<GroupIdentity>(m_group).job;
        const auto &name = m_entry.jobs.table.get<JobIdentity>(job).team;
        const auto &view = m_entry.config;
        const auto team = view.teamByName.find(name);
        if (team == view.teamByName.end()) {
            return true;
        }
        const auto &limit = view.current.teams[team->second].limit;
        const auto it = m_entry.work.teamUse.find(name);
        const auto use = (it == m_entry.work.teamUse.end() ? Resources{} : it->second) + more;
        const auto isWithin = [](std::int64_t amount, std::int64_t bound) {
            return bound == 0 || amount <= bound;
        };
        return isWithin(use.cpuMilli, limit.cpuMilli) && isWithin(use.memoryMb, limit.memoryMb)
            && isWithin(use.accelerators, limit.accelerators);
    }

    /** Places waiting tasks one by one until no worker fits or the team's limit is reached. */
    std::uint32_t placeSingles()
    {
        std::uint32_t placed = 0;
        const auto tasks = m_entry.work.groups.get<GroupState>(m_group).tasks;
        for (const auto it : tasks) {
            const auto &task = m_entry.work.tasks.get<TaskState>(it);
            if (task.phase != TaskPhase::Waiting) {
                continue;
            }
            if (m_time.now < task.readyAt) {
                m_entry.wakeBy(task.readyAt);
                continue;
            }
            const auto worker = isWithinLimit(m_step.perTask) ? choose(task, {}) : WorkerRef{};
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
        m_reserved.clear();
        for (const auto it : tasks) {
            const auto worker = choose(m_entry.work.tasks.get<TaskState>(it), rack);
            if (!worker.isSet()) {
                m_reserved.clear();
                return false;
            }
            m_reserved.push_back({it, worker});
        }
        return true;
    }

    /** Reserves capacity for all members of a gang in one rack. Returns false when no rack has enough. */
    bool reserveInOneRack(const std::vector<TaskRef> &tasks)
    {
        std::vector<std::string> racks;
        m_entry.workers.table.forEach([&](WorkerRef worker) {
            const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
            if (identity.pool == m_policy.pool && std::ranges::find(racks, identity.rack) == racks.end()) {
                racks.push_back(identity.rack);
            }
        });
        return std::ranges::any_of(racks, [&](const std::string &rack) { return reserveAll(tasks, rack); });
    }

    /** Places all tasks of a gang, under one run number and with one checkpoint, or none of them. */
    std::uint32_t placeGang()
    {
        const auto tasks = m_entry.work.groups.get<GroupState>(m_group).tasks;
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
        if (!isWithinLimit(m_step.perTask * static_cast<std::int64_t>(tasks.size()))) {
            return 0;
        }
        const bool isReserved = (m_step.rackBound && reserveInOneRack(tasks)) || reserveAll(tasks, {});
        if (!isReserved) {
            return 0;
        }
        const auto reserved = std::exchange(m_reserved, {});
        for (const auto &it : reserved) {
            m_entry.work.tasks.get<TaskState>(it.task).checkpoint = checkpoint;
            placeTask(m_entry, it.task, it.worker, number + 1, m_time);
        }
        return static_cast<std::uint32_t>(reserved.size());
    }

    Entry &m_entry;
    GroupRef m_group;
    const TickTime &m_time;
    const StepSpec &m_step;
    const JobPolicy &m_policy;
    const absl::flat_hash_map<std::string, Ticket> &m_tickets; ///< By the id of the worker.
    Resources m_demand;
    std::vector<Reservation> m_reserved; ///< Capacity reserved for members of the gang.
    std::vector<WorkerRef> m_candidates; ///< Workers that could take a task when findCandidates() ran.
    bool m_isSearched = false; ///< findCandidates() has run.
    bool m_lacksTickets = false; ///< A worker was found that lacked only a ticket.
};

} // namespace flamingotally::dispatch
