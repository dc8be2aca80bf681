/** @file planner.h Makes plans: serves waiting work in the order of a queue policy, places it by a placement policy. */
#pragma once

#include "policy/gang.h"
#include "policy/plan_type.h"
#include "policy/queue_policy.h"
#include "policy/task_need.h"

#include <algorithm>

namespace flamingotally
{

/** Waiting time after which capacity is reserved for the first blocked work of a lane. */
constexpr Milliseconds reservationDelay{2'000};

/** Number of workers in the cell for each reservation after the first, so that little capacity is left idle. */
constexpr std::size_t workersPerReservation = 8;

/** Maximum number of reservations of one plan, so that the time of the plan is bounded. */
constexpr std::size_t maxReservations = 16;

/** Waiting time after which blocked work holds back teams with a higher level. */
constexpr Milliseconds maxBypassWait{500};

/** A team may bypass the blocked work of another team up to this multiple of the other team's level. */
constexpr double maxLevelRatio = 1.02;

/** Waiting time after which work that is not urgent may preempt. */
constexpr Milliseconds preemptionDelay{1'000};

/** Maximum number of searches for attempts to stop in one plan, so that the time of the plan is bounded. */
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
                m_plan.isTruncated = true;
                break;
            }
        }
        return std::move(m_plan);
    }

private:
    /** A queue of waiting jobs with the same lane key, and how far it has been served. */
    struct Lane {
        LaneKey key;
        std::size_t next = 0; ///< Index of the next job to serve.
        std::size_t end = 0; ///< Index after the last job.
        std::uint32_t nextTask = 0; ///< Next task to serve, within the next job.
        FailedNeeds blocked; ///< Needs for which no capacity could be obtained.
        bool hasReservation = false; ///< Whether capacity is reserved for its first blocked task.
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

    /** Returns the lane to serve next, by rank and then by the level of its team; null if all lanes are done. */
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

    /** Serves a lane until a task or gang is placed, capacity is obtained for a task, or the lane is empty. */
    void serve(Lane &lane)
    {
        while (lane.next < lane.end) {
            const auto &job = m_scratch.waiting.jobs[lane.next];
            if (job.kind == WorkKind::Gang) {
                const bool placed = serveGang(job);
                nextJob(lane);
                if (placed) {
                    return;
                }
            } else if (serveTask(lane, job)) {
                if (++lane.nextTask == job.taskCount) {
                    nextJob(lane);
                }
                return;
            } else {
                nextJob(lane);
            }
        }
    }

    void nextJob(Lane &lane)
    {
        ++lane.next;
        lane.nextTask = 0;
    }

    /** Places the next task of a job, or obtains capacity for the task. Returns false to skip the rest of the job. */
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
        if constexpr (QueueT::reservesAndPreempts) {
            if (wouldBypassBlocked(job, amount)) {
                return false;
            }
            need.mayBorrow = need.mayBorrow && !(m_hasBlockedAccelerators && job.kind != WorkKind::Request);
        }
        if (const auto row = pickFor(task, need)) {
            place(job, task, *row, amount);
            return true;
        }
        m_plan.hasBlockedWork[static_cast<std::size_t>(job.urgency)] = true;
        if constexpr (QueueT::reservesAndPreempts) {
            recordBlocked(job, amount);
            return obtainCapacity(lane, job, amount);
        }
        return false;
    }

    /** The team with the lowest level of those whose blocked work has waited for maxBypassWait. */
    struct BlockedWork {
        double level = std::numeric_limits<double>::infinity();
        TeamRef team;
    };

    /** Returns the blocked work that competes for the same workers: work with accelerators, or all other work. */
    BlockedWork &blockedFor(const Resources &amount)
    {
        return m_blockedWork[amount.accelerators > 0 ? 1 : 0];
    }

    void recordBlocked(const WaitingJob &job, const Resources &amount)
    {
        m_hasBlockedAccelerators = m_hasBlockedAccelerators || amount.accelerators > 0;
        auto &blocked = blockedFor(amount);
        const double level = levelOf(m_scratch.teams, job.team);
        if (m_input.now - job.waitingSince >= maxBypassWait && level < blocked.level) {
            blocked = {level, job.team};
        }
    }

    /**
     * Returns true if placing a task would bypass blocked work of another team with a lower level. Such a task has to
     * wait, or a long queue of small tasks would keep the capacity fragmented and larger work would starve.
     */
    bool wouldBypassBlocked(const WaitingJob &job, const Resources &amount)
    {
        const auto &blocked = blockedFor(amount);
        return job.urgency != Urgency::Urgent && job.team != blocked.team
            && levelOf(m_scratch.teams, job.team, amount) > blocked.level * maxLevelRatio;
    }

    /**
     * Chooses a worker for a task: the one that the last plan chose if the task still fits there, else by the policy.
     */
    std::optional<std::size_t> pickFor(TaskRef task, const TaskNeed &need)
    {
        if (const auto it = m_input.planned.find(keyOf(task)); it != m_input.planned.end()) {
            const auto row = it->second.worker.index;
            const auto &capacities = m_scratch.capacities;
            if (row < capacities.size() && capacities.workers[row] == it->second.worker
                && isEligible(capacities.eligibility[row], need) && need.amount.fitsInto(capacities.free[row])) {
                return row;
            }
        }
        auto &failed = m_failed[placementClassOf(need)];
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
        allocate(capacities, m_scratch.teams, row, job.team, amount);
        if (capacities.eligibility[row] == WorkerEligibility::Probe) {
            capacities.eligibility[row] = WorkerEligibility::Closed;
        }
        if (m_counts) {
            m_counts->add(capacities, row);
        }
        m_plan.groups.push_back({{{task, capacities.workers[row]}}, job.job, job.urgency, false});
        ++m_placed;
    }

    /** Places all tasks of a gang, or reserves capacity for them. Returns true if the gang was placed. */
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
            m_plan.hasBlockedWork[static_cast<std::size_t>(job.urgency)] = true;
            if constexpr (QueueT::reservesAndPreempts) {
                reserve(job, amount, m_hasGangReservation);
            }
            return false;
        }
        PlannedGroup group{{}, job.job, job.urgency, true};
        for (std::uint32_t n = 0; n < job.taskCount; ++n) {
            allocate(m_scratch.capacities, m_scratch.teams, rows[n], job.team, amount);
            group.placements.push_back(
                {m_scratch.waiting.tasks[job.firstTask + n], m_scratch.capacities.workers[rows[n]]});
        }
        m_placed += job.taskCount;
        m_plan.groups.push_back(std::move(group));
        return true;
    }

    /**
     * Obtains capacity for a task that does not fit: claims capacity that is being released, or preempts attempts.
     * @return False if neither was possible; capacity on a worker may then be reserved for the task.
     */
    bool obtainCapacity(Lane &lane, const WaitingJob &job, const Resources &amount)
    {
        const bool mayPreempt = job.urgency == Urgency::Urgent || m_input.now - job.waitingSince >= preemptionDelay;
        if (!mayPreempt || lane.blocked.covers(amount)) {
            return false;
        }
        ensureLiveAttempts();
        const CapacityClaim claim{amount, job.team, job.urgency};
        if (claimReleasing(claim) || preemptFor(claim)) {
            return true;
        }
        lane.blocked.add(amount);
        reserve(job, amount, lane.hasReservation);
        return false;
    }

    /**
     * Allocates a claim on the first worker whose free and releasing capacity are enough. Returns false if none has.
     */
    bool claimReleasing(const CapacityClaim &claim)
    {
        auto &capacities = m_scratch.capacities;
        for (std::size_t n = 0; n < capacities.size(); ++n) {
            const bool isReleasing =
                capacities.releasing[n] != Resources{} && capacities.eligibility[n] == WorkerEligibility::Open;
            if (isReleasing && claim.amount.fitsInto(capacities.free[n] + capacities.releasing[n])) {
                takeReleasing(n, claim);
                return true;
            }
        }
        return false;
    }

    /** Plans the stops that make a claim fit, and allocates the claim. Returns false if no permitted stops suffice. */
    bool preemptFor(const CapacityClaim &claim)
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
            attempt.isStopping = true;
            m_scratch.capacities.releasing[set->row] += attempt.resources;
            m_scratch.teams.releasing[attempt.team.index] += attempt.resources;
            m_plan.stops.push_back({attempt.number, m_scratch.capacities.workers[set->row]});
        }
        takeReleasing(set->row, claim);
        return true;
    }

    /** Allocates a claim from the free capacity of a worker, and the rest from the capacity that is being released. */
    void takeReleasing(std::size_t row, const CapacityClaim &claim)
    {
        auto &free = m_scratch.capacities.free[row];
        const Resources taken = elementwiseMin(free, claim.amount);
        free -= taken;
        m_scratch.capacities.releasing[row] -= claim.amount - taken;
        m_scratch.teams.use[claim.team.index] += claim.amount;
    }

    /**
     * Reserves capacity for a blocked job that has waited long enough, unless the limits of reservations are reached.
     */
    void reserve(const WaitingJob &job, const Resources &amount, bool &hasReservation)
    {
        const auto limit = std::min(maxReservations, 1 + m_scratch.capacities.size() / workersPerReservation);
        if (hasReservation || m_reservations == limit || m_input.now - job.waitingSince < reservationDelay) {
            return;
        }
        ensureLiveAttempts();
        const auto count = job.kind == WorkKind::Gang ? job.taskCount : 1;
        hasReservation = reserveCapacity(m_scratch.capacities, m_scratch.attempts, amount, count);
        m_reservations += hasReservation ? 1 : 0;
    }

    void ensureLiveAttempts()
    {
        if (!m_hasAttempts) {
            fillLiveAttempts(
                m_scratch.attempts, m_scratch.capacities, m_scratch.teams, m_input.tables, m_input.proposedStops);
            m_hasAttempts = true;
        }
    }

    PlanScratch &m_scratch;
    const PlanInput &m_input;
    Plan m_plan;
    std::vector<Lane> m_lanes;
    std::array<FailedNeeds, placementClasses> m_failed;
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
