/** @file placer.h Places the tasks of one group: judges workers, counts room and limits. */
#pragma once

#include "dispatch/entry_func.h"
#include "dispatch/policy/worker_choice.h"
#include "dispatch/work_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

/** Whether a worker can take a task now. */
enum class Fit : std::uint8_t {
    Fits,
    NeedsTicket, ///< It has room, but whether it may run the step is not known, or the ticket has expired.
    NoCapacity,
    Unsuited,
    End,
};

/** Room that is set aside while a gang is being placed. */
struct Reservation {
    TaskRef task;
    WorkerRef worker;
};

/** Tells whether a worker takes tasks at all: it is known and heard, stays, and its domain is in service. */
inline bool takesTasks(const Entry &entry, WorkerRef worker, const TickTime &time)
{
    constexpr Milliseconds heardWithin{1'900}; // workers not heard for longer take nothing
    const auto &health = entry.workers.table.get<WorkerHealth>(worker);
    const auto &link = entry.workers.table.get<WorkerLink>(worker);
    if (!health.listed || health.draining || !link.known || link.silent > 0 || time.now < health.avoidUntil
        || time.now - link.heardAt > heardWithin) {
        return false;
    }
    const auto &out = entry.config.domainsOut;
    return std::ranges::find(out, entry.workers.table.get<WorkerIdentity>(worker).domain) == out.end();
}

/**
 * Places tasks of one group.
 * @tparam Choice Which worker is taken.
 */
template<WorkerChoice Choice>
class Placer
{
public:
    Placer(Entry &entry, GroupRef group, const TickTime &time)
        : m_entry(entry), m_group(group), m_time(time), m_step(stepOf(entry, group)),
          m_treatment(policyOf(entry, group)), m_tickets(entry.work.groups.get<GroupAdvice>(group).byWorker),
          m_need(roomOf(m_step))
    {
    }

    /**
     * Places what can be placed now.
     * @return How many tasks were placed.
     */
    std::uint32_t place()
    {
        return isCrowded() ? 0 : m_step.gang ? placeGang() : placeSingles();
    }

    /** Tells whether a worker with room lacked only a ticket. */
    bool lacksTickets() const
    {
        return m_lacksTickets;
    }

    /** Judges a worker for the group. */
    Fit judge(WorkerRef worker) const
    {
        if (!hasRoom(worker) || !allowsAnother(worker)) {
            return Fit::NoCapacity;
        }
        const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
        return takesTasks(m_entry, worker, m_time) && suits(identity) ? judgeTicket(worker, identity) : Fit::Unsuited;
    }

    /** Tells whether a worker may run the group's tasks at all, room and tickets aside. */
    bool isUsable(WorkerRef worker) const
    {
        const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
        return m_need.fitsInto(identity.capacity) && suits(identity) && takesTasks(m_entry, worker, m_time);
    }

    /** Tells whether the team's limit stands in the way of another task. */
    bool isAtLimit() const
    {
        return !isWithinLimit(m_step.perTask);
    }

    /** Keeps room free for tasks that wait for a ticket, or that are so large that room for them has to be gathered. */
    void holdRoom()
    {
        auto waiting = waitingTasks();
        if (waiting == 0 || isAtLimit()) {
            return;
        }
        const auto &advice = m_entry.work.groups.get<GroupAdvice>(m_group);
        for (const auto &id : advice.renewing) {
            const auto it = m_entry.workers.byId.find(id);
            if (it != m_entry.workers.byId.end() && waiting > 0 && judge(it->second) == Fit::NeedsTicket) {
                keep(it->second);
                --waiting;
            }
        }
        const auto waited = m_time.now - m_entry.work.groups.get<GroupState>(m_group).openedAt;
        if (waiting > 0 && waited > gatherAfter && m_entry.work.pass.largeReservations < gathersPerPass) {
            gatherRoom();
        }
    }

private:
    static constexpr Milliseconds gatherAfter{300}; ///< Large tasks that have waited so long have room gathered.
    static constexpr std::uint32_t gathersPerPass = 32;
    static constexpr std::int64_t largePart = 4; ///< A task that takes more than one such part of a worker is large.
    static constexpr Milliseconds ticketMargin{200}; ///< For the order to arrive while the ticket is valid.

    /** Tells whether a worker is of the group's pool and has its label. */
    bool suits(const WorkerIdentity &identity) const
    {
        return identity.pool == m_treatment.pool && hasLabel(identity);
    }

    bool hasLabel(const WorkerIdentity &identity) const
    {
        return m_step.requiredLabel.empty()
            || std::ranges::find(identity.labels, m_step.requiredLabel) != identity.labels.end();
    }

    /** Workers of the group's pool that take tasks in this pass. */
    const std::vector<WorkerRef> &poolWorkers() const
    {
        static const std::vector<WorkerRef> none;
        const auto &pools = m_entry.work.pass.pools;
        const auto it = std::ranges::find(pools, m_treatment.pool, &PassPool::name);
        return it == pools.end() ? none : it->workers;
    }

    /** Room that groups that go before this one, and other members of its gang, are to have on a worker. */
    Resources keptOn(WorkerRef worker) const
    {
        const auto &room = m_entry.workers.table.get<WorkerLoad>(worker);
        auto sum = room.reservedInPass == m_entry.work.pass.number ? room.kept : Resources{};
        for (const auto &it : m_reserved) {
            if (it.worker == worker) {
                sum += m_need;
            }
        }
        return sum;
    }

    /** Keeps room for one task on a worker for the rest of the pass. */
    void keep(WorkerRef worker)
    {
        auto &room = m_entry.workers.table.get<WorkerLoad>(worker);
        if (std::exchange(room.reservedInPass, m_entry.work.pass.number) != m_entry.work.pass.number) {
            room.kept = {};
        }
        room.kept += m_need;
    }

    bool hasRoom(WorkerRef worker) const
    {
        const auto &capacity = m_entry.workers.table.get<WorkerIdentity>(worker).capacity;
        return m_need.fitsInto(capacity - m_entry.workers.table.get<WorkerLoad>(worker).used - keptOn(worker));
    }

    /** Tells whether an earlier group of the pass that needed no more found no room anywhere. */
    bool isCrowded() const
    {
        return std::ranges::any_of(m_entry.work.pass.crowded, [&](const CrowdedNeed &it) {
            return it.pool == m_treatment.pool && it.need.fitsInto(m_need)
                && (it.label.empty() || it.label == m_step.requiredLabel);
        });
    }

    /** Finds the workers that can take a task now. Later choices look at no others: room only shrinks in a pass. */
    void findCandidates()
    {
        m_isSearched = true;
        if (m_treatment.advice.required && m_tickets.empty()) {
            m_lacksTickets = true;
            return;
        }
        bool anyRoom = false;
        for (const auto worker : poolWorkers()) {
            const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
            if (!hasRoom(worker) || !hasLabel(identity)) {
                continue;
            }
            anyRoom = true;
            if (!allowsAnother(worker)) {
                continue;
            }
            const auto fit = judgeTicket(worker, identity);
            m_lacksTickets = m_lacksTickets || fit == Fit::NeedsTicket;
            if (fit == Fit::Fits) {
                m_candidates.push_back(worker);
            }
        }
        if (!anyRoom) {
            m_entry.work.pass.crowded.push_back({m_treatment.pool, m_step.requiredLabel, m_need});
        }
    }

    /** Tasks of the group that a worker has, those set aside included. */
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

    bool allowsAnother(WorkerRef worker) const
    {
        return m_step.maxPerWorker == 0 || sameGroupOn(worker) < m_step.maxPerWorker;
    }

    Fit judgeTicket(WorkerRef worker, const WorkerIdentity &identity) const
    {
        if (!m_treatment.advice.required) {
            return Fit::Fits;
        }
        const auto it = m_tickets.find(identity.id);
        if (it == m_tickets.end()) {
            return Fit::NeedsTicket;
        }
        if (!it->second.granted) {
            return Fit::Unsuited;
        }
        const bool isValid = it->second.validUntil - ticketMargin > m_time.now
            && it->second.incarnation == m_entry.workers.table.get<WorkerLink>(worker).incarnation;
        return isValid ? Fit::Fits : Fit::NeedsTicket;
    }

    Candidate describe(WorkerRef worker, const TaskState &task) const
    {
        const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
        const auto &room = m_entry.workers.table.get<WorkerLoad>(worker);
        Candidate it;
        it.capacity = identity.capacity;
        it.freeAfter = identity.capacity - room.used - keptOn(worker) - m_need;
        it.nearData = m_step.dataRack.empty() || m_step.dataRack == identity.rack;
        it.isAvoided = task.avoid == worker;
        it.disturbs =
            (m_step.bestEffort && room.serving > 0) || (m_step.targetResponse.count() > 0 && room.filling > 0);
        it.failedInRow = m_entry.workers.table.get<WorkerHealth>(worker).failedInRow;
        return it;
    }

    std::size_t waitingTasks() const
    {
        const auto &tasks = m_entry.work.groups.get<GroupState>(m_group).tasks;
        return static_cast<std::size_t>(std::ranges::count_if(
            tasks, [&](TaskRef it) { return m_entry.work.tasks.get<TaskState>(it).phase == TaskPhase::Waiting; }));
    }

    bool isLargeOn(const Resources &capacity) const
    {
        return m_need.cpuMilli * largePart > capacity.cpuMilli || m_need.memoryMb * largePart > capacity.memoryMb
            || (capacity.accelerators > 0 && m_need.accelerators * largePart > capacity.accelerators);
    }

    bool isKnownGood(const std::string &id) const
    {
        if (!m_treatment.advice.required) {
            return true;
        }
        const auto it = m_tickets.find(id);
        return it != m_tickets.end() && it->second.granted;
    }

    /** Keeps the worker free that is nearest to having room for a large task. */
    void gatherRoom()
    {
        WorkerRef best;
        double bestPart = -1;
        for (const auto worker : poolWorkers()) {
            const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
            const bool isCandidate = isLargeOn(identity.capacity) && m_need.fitsInto(identity.capacity)
                && keptOn(worker) == Resources{} && hasLabel(identity) && isKnownGood(identity.id)
                && allowsAnother(worker);
            if (!isCandidate) {
                continue;
            }
            const auto free = identity.capacity - m_entry.workers.table.get<WorkerLoad>(worker).used;
            const auto part = [](std::int64_t has, std::int64_t needs) {
                return needs > 0 ? std::min(1.0, static_cast<double>(has) / static_cast<double>(needs)) : 1.0;
            };
            const double least = std::min({part(free.cpuMilli, m_need.cpuMilli),
                                           part(free.memoryMb, m_need.memoryMb),
                                           part(free.accelerators, m_need.accelerators)});
            if (least > bestPart) {
                best = worker;
                bestPart = least;
            }
        }
        if (best.isSet()) {
            keep(best);
            ++m_entry.work.pass.largeReservations;
        }
    }

    /** Best worker for a task; unset when none fits. */
    WorkerRef choose(const TaskState &task, const std::string &rack)
    {
        if (!m_isSearched) {
            findCandidates();
        }
        WorkerRef best;
        double bestScore = 0;
        for (const auto worker : m_candidates) {
            const bool isElsewhere = !rack.empty() && m_entry.workers.table.get<WorkerIdentity>(worker).rack != rack;
            if (isElsewhere || !hasRoom(worker) || !allowsAnother(worker)) {
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

    /** Tells whether the team may have so much more. */
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

    /** Sets room aside for all members, in one rack when one is named. */
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

    bool reserveInOneRack(const std::vector<TaskRef> &tasks)
    {
        std::vector<std::string> racks;
        m_entry.workers.table.forEach([&](WorkerRef worker) {
            const auto &identity = m_entry.workers.table.get<WorkerIdentity>(worker);
            if (identity.pool == m_treatment.pool && std::ranges::find(racks, identity.rack) == racks.end()) {
                racks.push_back(identity.rack);
            }
        });
        return std::ranges::any_of(racks, [&](const std::string &rack) { return reserveAll(tasks, rack); });
    }

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
    const JobPolicy &m_treatment;
    const absl::flat_hash_map<std::string, Ticket> &m_tickets; ///< By the worker's id.
    Resources m_need;
    std::vector<Reservation> m_reserved; ///< Room set aside for members of a gang.
    std::vector<WorkerRef> m_candidates; ///< Workers that could take a task when they were looked for.
    bool m_isSearched = false;
    bool m_lacksTickets = false;
};

} // namespace flamingotally::dispatch
