/**
 * @file admission_policy.h Judges by the owner's estimate whether a submitted job can end in time, and when its caller
 * should return. Addresses more work than a pool can do, for seconds: one team that sends many times its usual load, or
 * callers that return together after an outage. Has no input or output.
 */
#pragma once

#include "dispatch/entry_base.h"
#include "dispatch/objective_func.h"
#include "dispatch/work_func.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace flamingotally::dispatch
{

constexpr Milliseconds loadInterval{1'000}; ///< Minimum time between two estimates of the owner.
constexpr Milliseconds loadAgeLimit{3'000}; ///< An estimate that was read longer ago says nothing.
constexpr std::size_t maxPoolsInLoad = 16;
constexpr std::size_t maxPrioritiesInLoad = 8;
constexpr std::size_t maxTeamsInLoad = 16; ///< Of one priority.
constexpr std::int64_t maxLoad = 1'000'000'000'000'000; ///< Larger amounts of work are cut off or invalid.
/** Mean delay after a refusal because of the store or a stale view, which usually last longer than one read. */
constexpr Milliseconds shortRetryDelay{500};
/** Bounds of the mean of return delays: after the spread, the delays are between 0.2 and 5 s. */
constexpr Milliseconds minRetryDelay{400};
constexpr Milliseconds maxRetryDelay{3'333};

/** Why a job is refused for load. */
struct LoadRefusal {
    std::int64_t workAhead = 0; ///< Work that goes first, in core-milliseconds.
    std::int64_t drainMilli = 0; ///< PoolLoad::drainMilli of the estimate.
    Milliseconds wait{0}; ///< Estimated time until the job would begin.
    Milliseconds criticalPath{0}; ///< Estimated time from its begin to its end.
    Milliseconds objective{0}; ///< Time within which it should be done.
    Milliseconds age{0}; ///< Age of the estimate.
    Milliseconds retryAfter{0}; ///< Mean of the delay after which the caller should return.
};

/** Returns the work of a number of tasks of a step in core-milliseconds; zero if their duration is not known. */
inline std::int64_t workOf(const StepSpec &step, std::size_t tasks)
{
    const double work =
        coresOf(demandOf(step)) * static_cast<double>(step.runEstimate.count()) * static_cast<double>(tasks);
    return static_cast<std::int64_t>(std::clamp(work, 0.0, static_cast<double>(maxLoad)));
}

/** Returns true if the work of a step ends by itself and competes for all workers of its pool alike. */
inline bool isMeasurable(const StepSpec &step)
{
    return !step.endless && step.requiredLabel.empty();
}

/** Returns the share of a team; that of a team without one is 1. */
inline double shareOf(const ConfigView &config, const std::string &team)
{
    const auto it = config.teamByName.find(team);
    return it == config.teamByName.end() ? 1.0 : std::max(config.current.teams[it->second].share, smallestShare);
}

/** Returns the teams that hold at least their share of the waiting work, those with the most of it for their share. */
inline std::vector<TeamLoad> teamsAboveShare(const std::map<std::string, std::int64_t> &work, const ConfigView &config)
{
    double total = 0;
    double shares = 0;
    for (const auto &[team, amount] : work) {
        total += static_cast<double>(amount);
        shares += shareOf(config, team);
    }
    std::vector<std::pair<double, TeamLoad>> found;
    for (const auto &[team, amount] : work) {
        const double share = shareOf(config, team);
        if (amount > 0 && static_cast<double>(amount) * shares >= total * share) {
            found.emplace_back(-static_cast<double>(amount) / share, TeamLoad{team, amount});
        }
    }
    std::ranges::sort(found, {}, &std::pair<double, TeamLoad>::first);
    found.resize(std::min(found.size(), maxTeamsInLoad));
    std::vector<TeamLoad> teams;
    teams.reserve(found.size());
    for (auto &[key, team] : found) {
        teams.push_back(std::move(team));
    }
    return teams;
}

/** Returns true if an estimate has only possible values. */
inline bool isValid(const PoolLoadRecord &record)
{
    const auto isAmount = [](std::int64_t it) {
        return it >= 0 && it <= maxLoad;
    };
    const auto isValidPriority = [&](const PriorityLoad &it) {
        const auto isValidTeam = [&](const TeamLoad &team) {
            return isAmount(team.work);
        };
        return isAmount(it.inTime) && isAmount(it.late) && it.teams.size() <= maxTeamsInLoad
            && std::ranges::all_of(it.teams, isValidTeam);
    };
    return record.pools.size() <= maxPoolsInLoad && std::ranges::all_of(record.pools, [&](const PoolLoad &it) {
               return isAmount(it.drainMilli) && it.blockedDemand.isNonNegative()
                   && it.priorities.size() <= maxPrioritiesInLoad
                   && std::ranges::all_of(it.priorities, isValidPriority);
           });
}

/** Adds the work of a job that was accepted after the estimate. Counts only the steps that can begin immediately. */
inline void addAccepted(LoadView &view, const AcceptedRecord &record)
{
    const auto &policy = record.policy;
    const bool isMeasured =
        std::ranges::find(view.estimate.pools, policy.pool, &PoolLoad::pool) != view.estimate.pools.end();
    if (!isMeasured || record.spec.repetition.times > 0) {
        return;
    }
    std::int64_t work = 0;
    for (const auto &step : record.spec.steps) {
        work = std::min(work + (step.after.empty() && isMeasurable(step) ? workOf(step, step.count) : 0), maxLoad);
    }
    const auto it = std::ranges::find_if(view.accepted, [&](const AcceptedWork &row) {
        return row.pool == policy.pool && row.priority == policy.priority && row.team == record.team;
    });
    if (it == view.accepted.end()) {
        view.accepted.push_back({policy.pool, policy.priority, record.team, std::min(work, maxLoad)});
    } else {
        it->work = std::min(it->work + work, maxLoad);
    }
}

/** Returns the work that jobs accepted since the estimate add; of one team, or of all if `team` is null. */
inline double
acceptedWork(const LoadView &view, const std::string &pool, std::uint32_t priority, const std::string *team)
{
    double work = 0;
    for (const auto &it : view.accepted) {
        const bool isCounted = it.pool == pool && it.priority == priority && (!team || it.team == *team);
        work += isCounted ? static_cast<double>(it.work) : 0;
    }
    return work;
}

/**
 * Returns the work of one priority that is done until the last of a team's own is done. Capacity goes to the team that
 * uses least of its share, so the others have done as much for their share by then, or all of theirs.
 * @param own The team's own row in `load`.
 */
inline double workBefore(const LoadView &view,
                         const std::string &pool,
                         const PriorityLoad &load,
                         const TeamLoad &own,
                         const ConfigView &config)
{
    const auto accepted = [&](const std::string *team) {
        return acceptedWork(view, pool, load.priority, team);
    };
    const double ownWork = static_cast<double>(own.work) + accepted(&own.team);
    if (!config.teamByName.contains(own.team)) {
        return ownWork; // its use has no share, so that it goes before all others
    }
    const double perShare = ownWork / shareOf(config, own.team);
    double rest = static_cast<double>(load.inTime) + static_cast<double>(load.late) + accepted(nullptr);
    double before = 0;
    for (const auto &it : load.teams) {
        const double work = static_cast<double>(it.work) + accepted(&it.team);
        rest -= work;
        before += it.team == own.team ? work : std::min(work, perShare * shareOf(config, it.team));
    }
    return before + std::max(rest, 0.0);
}

/**
 * Returns the work that goes before a new job, in core-milliseconds; unset if its team holds less than its share of the
 * priority's work. Late work counts, although a new job goes before it: otherwise new jobs would be accepted at the
 * cost of those that were accepted before.
 */
inline std::optional<double> workAheadOf(const LoadView &view,
                                         const PoolLoad &pool,
                                         std::uint32_t priority,
                                         const std::string &team,
                                         const ConfigView &config)
{
    double ahead = 0;
    bool isAboveShare = false;
    for (const auto &it : pool.priorities) {
        if (it.priority < priority) {
            ahead += static_cast<double>(it.inTime) + static_cast<double>(it.late)
                + acceptedWork(view, pool.pool, it.priority, nullptr);
        } else if (it.priority == priority) {
            const auto own = std::ranges::find(it.teams, team, &TeamLoad::team);
            if (own == it.teams.end()) {
                return std::nullopt;
            }
            isAboveShare = true;
            ahead += workBefore(view, pool.pool, it, *own, config);
        }
    }
    return isAboveShare ? std::optional(ahead) : std::nullopt;
}

/** Returns true if a job with this specification is judged by the load at all. */
inline bool isJudged(const JobSpec &spec)
{
    return spec.repetition.times == 0 && std::ranges::all_of(spec.steps, isMeasurable);
}

/** Returns true if the pool has capacity for the first tasks of a job. */
inline bool hasCapacityFor(const PoolLoad &pool, const JobSpec &spec)
{
    return std::ranges::any_of(
        spec.steps, [&](const StepSpec &it) { return it.after.empty() && !pool.blockedDemand.fitsInto(demandOf(it)); });
}

/**
 * Judges a submitted job by the newest estimate.
 * @param team Team that submits the job.
 * @return Why it is refused; unset if it is accepted, also whenever the estimate does not tell clearly enough.
 */
inline std::optional<LoadRefusal> judgeLoad(const JobSpec &spec,
                                            const JobPolicy &policy,
                                            const std::string &team,
                                            const LoadView &view,
                                            const ConfigView &config,
                                            MonotonicTime now)
{
    constexpr int clearDivisor = 8; // the estimate must exceed the limit by an eighth, as run times vary
    LoadRefusal it;
    it.age = Milliseconds(now - view.readAt);
    const auto pool = std::ranges::find(view.estimate.pools, policy.pool, &PoolLoad::pool);
    const bool isKnown = view.readAt != MonotonicTime{} && it.age <= loadAgeLimit && pool != view.estimate.pools.end();
    if (!isKnown || pool->drainMilli <= 0 || !isJudged(spec) || hasCapacityFor(*pool, spec)) {
        return std::nullopt;
    }
    const auto criticalPaths = criticalPathsOf(spec);
    it.criticalPath = *std::ranges::max_element(criticalPaths);
    it.objective = objectiveOf(policy, criticalPaths);
    const auto ahead = workAheadOf(view, *pool, policy.priority, team, config);
    if (it.criticalPath <= Milliseconds::zero() || it.objective <= Milliseconds::zero() || !ahead) {
        return std::nullopt;
    }
    const double ms = *ahead * milliPerCore / static_cast<double>(pool->drainMilli);
    it.workAhead = std::llround(std::min(*ahead, double{maxLoad}));
    it.drainMilli = pool->drainMilli;
    it.wait = Milliseconds(std::llround(std::min(ms, double{maxLoad}))) - it.age;
    const auto limit = it.objective * usefulFactor;
    // a shorter wait can be over before the next estimate
    if (it.wait <= loadInterval || it.wait + it.criticalPath <= limit + limit / clearDivisor) {
        return std::nullopt;
    }
    it.retryAfter = std::clamp(it.wait + it.criticalPath - it.objective, minRetryDelay, maxRetryDelay);
    return it;
}

/**
 * Returns a delay of 0.5 to 1.5 times the mean, by a hash, so that refused callers do not return together.
 * @param attempt Differs between the refusals of a job, so that jobs with close delays part at the next one.
 */
inline Milliseconds spreadDelay(Milliseconds mean, JobId job, std::uint64_t attempt)
{
    // the finalizer of SplitMix64, as the hash must be the same in all processes
    std::uint64_t hash = job + 0x9e3779b97f4a7c15ULL * (attempt + 1);
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    hash ^= hash >> 31U;
    constexpr std::uint64_t steps = 1'000;
    const auto thousandths = static_cast<std::int64_t>(steps / 2 + hash % (steps + 1));
    return Milliseconds(mean.count() * thousandths / static_cast<std::int64_t>(steps));
}

} // namespace flamingotally::dispatch
