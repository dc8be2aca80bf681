/** @file planner.h Walks waiting work in the order of a queue policy and places it by a placement policy. */
#pragma once

#include "policy/gang.h"
#include "policy/plan_type.h"
#include "policy/queue_policy.h"
#include "policy/task_need.h"

#include <algorithm>

namespace flamingotally
{

/** Waiting of the head of the queue after which workers are kept for it. */
constexpr Milliseconds reserveAfter{2'000};

/** Room is kept for the head of one lane at most for so many workers, so that little lies idle. */
constexpr std::size_t workersPerReservation = 8;

/** Lanes that room is kept for at most, so that the time of a plan is bounded. */
constexpr std::size_t maxReservations = 16;

/** Waiting after which work that finds no room holds back teams with a higher level. */
constexpr Milliseconds yieldAfter{500};

/** How far above the level of such work a team may go on filling in round it. */
constexpr double levelSlack = 1.02;

/** Waiting after which work that is not urgent may preempt. */
constexpr Milliseconds preemptAfter{1'000};

/** Searches for attempts to stop that one plan makes at most, so that its time is bounded. */
constexpr std::uint32_t maxStopSearches = 4;

/** Makes one plan. */
template<QueuePolicy QueueT, PlacementPolicy PlacementT>
class Planner
{
public:
    Planner(PlanScratch &scratch, const PlanInput &input) : m_scratch(scratch), m_input(input)
    {
    }

    Plan run()
    {
        makeLanes();
        while (auto *lane = nextLane()) {
            serve(*lane);
            if (m_placed >= m_input.maxTasks) {
                m_plan.isCutShort = true;
                break;
            }
        }
        return std::move(m_plan);
    }

private:
    /** A run of waiting jobs, and how far it has been served. */
    struct Lane {
        LaneKey key;
        std::size_t next = 0;
        std::size_t end = 0;
        std::uint32_t nextTask = 0; ///< Task of the next job.
        SmallestNeeds blocked; ///< Needs that no room could be made for.
        bool hasReservation = false; ///< Room is kept for its first blocked task.
    };

    void makeLanes()
    {
        auto &jobs = m_scratch.waiting.jobs;
        std::ranges::sort(jobs, [](const WaitingJob &left, const WaitingJob &right) {
            const auto leftLane = QueueT::laneOf(left);
            const auto rightLane = QueueT::laneOf(right);
            return leftLane != rightLane ? leftLane < rightLane : QueueT::before(left, right);
        });
        for (std::size_t n = 0; n < jobs.size(); ++n) {
            const auto key = QueueT::laneOf(jobs[n]);
            if (m_lanes.empty() || m_lanes.back().key != key) {
                m_lanes.push_back({key, n, n, 0, {}, false});
            }
            m_lanes.back().end = n + 1;
        }
    }

    /** Lane to serve next: of the lowest rank, and within it of the team that is furthest below its share. */
    Lane *nextLane()
    {
        Lane *best = nullptr;
        double bestLevel = 0.0;
        for (auto &lane : m_lanes) {
            if (lane.next == lane.end) {
                continue;
            }
            if (best != nullptr && best->key.rank < lane.key.rank) {
                break;
            }
            const double level = levelOf(m_scratch.teams, m_scratch.waiting.jobs[lane.next].team);
            if (best == nullptr || level < bestLevel) {
                best = &lane;
                bestLevel = level;
            }
        }
        return best;
    }

    /** Serves a lane until something was placed or nothing is left in it. */
    void serve(Lane &lane)
    {
        while (lane.next < lane.end) {
            const auto &job = m_scratch.waiting.jobs[lane.next];
            if (job.kind == WorkKind::Gang) {
                const bool placed = serveGang(job);
                skipJob(lane);
                if (placed) {
                    return;
                }
            } else if (serveTask(lane, job)) {
                if (++lane.nextTask == job.taskCount) {
                    skipJob(lane);
                }
                return;
            } else {
                skipJob(lane);
            }
        }
    }

    void skipJob(Lane &lane)
    {
        ++lane.next;
        lane.nextTask = 0;
    }

    /** Places a task, or sees to it that it will have room. False when the rest of its job would fare no better. */
    bool serveTask(Lane &lane, const WaitingJob &job)
    {
        const auto task = m_scratch.waiting.tasks[job.firstTask + lane.nextTask];
        const auto &amount = m_input.tables.jobs.get<JobSpec>(job.job).perTask;
        if (!withinLimit(m_input.tables, m_scratch.teams, job.team, amount)) {
            return false;
        }
        if (lane.nextTask == 0) {
            m_counts = countSpread(m_input.tables, m_scratch.capacities, job.job);
        }
        auto need = needOf(m_input.tables, job, task, m_counts);
        if constexpr (QueueT::makesRoom) {
            if (passesBlocked(job, amount)) {
                return false;
            }
            need.mayBorrow = need.mayBorrow && !(m_hasBlockedAccelerators && job.kind != WorkKind::Request);
        }
        if (const auto row = pickFor(task, need)) {
            place(job, task, *row, amount);
            return true;
        }
        m_plan.blocked[static_cast<std::size_t>(job.urgency)] = true;
        if constexpr (QueueT::makesRoom) {
            noteBlocked(job, amount);
            return makeRoom(lane, job, amount);
        }
        return false;
    }

    /** Work that found no room, of the team furthest below its share. */
    struct BlockedWork {
        double level = std::numeric_limits<double>::infinity();
        TeamRef team;
    };

    /** The blocked work that matters for a need: that with accelerators, or all other. */
    BlockedWork &blockedFor(const Resources &amount)
    {
        return m_blockedWork[amount.accelerators > 0 ? 1 : 0];
    }

    void noteBlocked(const WaitingJob &job, const Resources &amount)
    {
        m_hasBlockedAccelerators = m_hasBlockedAccelerators || amount.accelerators > 0;
        auto &blocked = blockedFor(amount);
        const double level = levelOf(m_scratch.teams, job.team);
        if (m_input.now - job.since >= yieldAfter && level < blocked.level) {
            blocked = {level, job.team};
        }
    }

    /**
     * Tells whether small work of a team would pass by larger work that found no room, of a team further below its
     * share. It has to wait: else a long queue of small work would hold fragments for ever.
     */
    bool passesBlocked(const WaitingJob &job, const Resources &amount)
    {
        const auto &blocked = blockedFor(amount);
        return job.urgency != Urgency::Urgent && job.team != blocked.team
            && levelOf(m_scratch.teams, job.team, amount) > blocked.level * levelSlack;
    }

    std::optional<std::size_t> pickFor(TaskRef task, const TaskNeed &need)
    {
        if (const auto it = m_input.planned.find(keyOf(task)); it != m_input.planned.end()) {
            const auto row = it->second.worker.index;
            const auto &capacities = m_scratch.capacities;
            if (row < capacities.size() && capacities.workers[row] == it->second.worker
                && mayUseRow(capacities.use[row], need) && need.amount.fitsInto(capacities.free[row])) {
                return row;
            }
        }
        auto &failed = m_failed[failureClassOf(need)];
        if (failed.covers(need.amount)) {
            return std::nullopt;
        }
        const auto row = pickRow<PlacementT>(m_scratch.capacities, need);
        if (!row) {
            failed.add(need.amount);
        }
        return row;
    }

    void place(const WaitingJob &job, TaskRef task, std::size_t row, const Resources &amount)
    {
        auto &capacities = m_scratch.capacities;
        takeRoom(capacities, m_scratch.teams, row, job.team, amount);
        if (capacities.use[row] == RowUse::Probe) {
            capacities.use[row] = RowUse::Closed;
        }
        if (m_counts) {
            m_counts->add(capacities, row);
        }
        m_plan.groups.push_back({{{task, capacities.workers[row]}}, job.job, job.urgency, false});
        ++m_placed;
    }

    bool serveGang(const WaitingJob &job)
    {
        const auto &amount = m_input.tables.jobs.get<JobSpec>(job.job).perTask;
        if (!withinLimit(m_input.tables, m_scratch.teams, job.team, amount * job.taskCount)) {
            return false;
        }
        const auto task = m_scratch.waiting.tasks[job.firstTask];
        const auto need = needOf(m_input.tables, job, task, m_counts);
        const auto rows = placeGang(m_scratch.capacities, need, job.taskCount);
        if (rows.empty()) {
            m_plan.blocked[static_cast<std::size_t>(job.urgency)] = true;
            if constexpr (QueueT::makesRoom) {
                reserve(job, amount, m_hasGangReservation);
            }
            return false;
        }
        PlannedGroup group{{}, job.job, job.urgency, true};
        for (std::uint32_t n = 0; n < job.taskCount; ++n) {
            takeRoom(m_scratch.capacities, m_scratch.teams, rows[n], job.team, amount);
            group.placements.push_back(
                {m_scratch.waiting.tasks[job.firstTask + n], m_scratch.capacities.workers[rows[n]]});
        }
        m_placed += job.taskCount;
        m_plan.groups.push_back(std::move(group));
        return true;
    }

    /** Claims room that is about to come free for a task, or stops attempts for it, or keeps a worker for it. */
    bool makeRoom(Lane &lane, const WaitingJob &job, const Resources &amount)
    {
        const bool mayPreempt = job.urgency == Urgency::Urgent || m_input.now - job.since >= preemptAfter;
        if (!mayPreempt || lane.blocked.covers(amount)) {
            return false;
        }
        needAttempts();
        const RoomClaim claim{amount, job.team, job.urgency};
        if (claimSoon(claim) || stopFor(claim)) {
            return true;
        }
        lane.blocked.add(amount);
        reserve(job, amount, lane.hasReservation);
        return false;
    }

    bool claimSoon(const RoomClaim &claim)
    {
        auto &capacities = m_scratch.capacities;
        for (std::size_t n = 0; n < capacities.size(); ++n) {
            const bool isComing = capacities.soon[n] != Resources{} && capacities.use[n] == RowUse::Open;
            if (isComing && claim.amount.fitsInto(capacities.free[n] + capacities.soon[n])) {
                takeSoon(n, claim);
                return true;
            }
        }
        return false;
    }

    bool stopFor(const RoomClaim &claim)
    {
        if (m_stopSearches == maxStopSearches) {
            return false;
        }
        ++m_stopSearches;
        auto &attempts = m_scratch.attempts;
        const auto set = chooseStops(attempts, m_scratch.capacities, m_scratch.teams, claim, m_input.now);
        if (!set) {
            return false;
        }
        for (const auto n : set->attempts) {
            auto &attempt = attempts.rows[n];
            attempt.stopping = true;
            m_scratch.capacities.soon[set->row] += attempt.held;
            m_scratch.teams.leaving[attempt.team.index] += attempt.held;
            m_plan.stops.push_back({attempt.number, m_scratch.capacities.workers[set->row]});
        }
        takeSoon(set->row, claim);
        return true;
    }

    /** Takes a claim from what is free on a worker, and the rest from what is about to be. */
    void takeSoon(std::size_t row, const RoomClaim &claim)
    {
        auto &free = m_scratch.capacities.free[row];
        const Resources taken = smallerOf(free, claim.amount);
        free -= taken;
        m_scratch.capacities.soon[row] -= claim.amount - taken;
        m_scratch.teams.use[claim.team.index] += claim.amount;
    }

    void reserve(const WaitingJob &job, const Resources &amount, bool &hasReservation)
    {
        const auto most = std::min(maxReservations, 1 + m_scratch.capacities.size() / workersPerReservation);
        if (hasReservation || m_reservations == most || m_input.now - job.since < reserveAfter) {
            return;
        }
        needAttempts();
        const auto count = job.kind == WorkKind::Gang ? job.taskCount : 1;
        hasReservation = keepRoom(m_scratch.capacities, m_scratch.attempts, amount, count);
        m_reservations += hasReservation ? 1 : 0;
    }

    void needAttempts()
    {
        if (!m_hasAttempts) {
            fillLiveAttempts(
                m_scratch.attempts, m_scratch.capacities, m_scratch.teams, m_input.tables, m_input.stopsInHand);
            m_hasAttempts = true;
        }
    }

    PlanScratch &m_scratch;
    const PlanInput &m_input;
    Plan m_plan;
    std::vector<Lane> m_lanes;
    std::array<SmallestNeeds, failureClasses> m_failed;
    std::optional<SpreadCounts> m_counts;
    std::size_t m_placed = 0;
    std::uint32_t m_stopSearches = 0;
    bool m_hasAttempts = false;
    bool m_hasGangReservation = false;
    std::size_t m_reservations = 0;
    std::array<BlockedWork, 2> m_blockedWork;
    bool m_hasBlockedAccelerators = false;
};

} // namespace flamingotally
