/** @file request_workers.h Chooses the workers that a request to the policy service names. */
#pragma once

#include "core/digest.h"
#include "dispatch/policy/gang_capacity.h"

#include <limits>

namespace flamingotally::dispatch
{

/** Workers to include in a request. */
struct RequestWorkers {
    std::vector<WorkerRef> all;
    std::vector<WorkerRef> renewing; ///< The workers in `all` that had a ticket before, which the request renews.
};

/** A worker with its rank; lower ones go first. */
using RankedWorker = std::pair<std::int64_t, WorkerRef>;

/** Workers that a request about a group may name. */
struct RequestCandidates {
    std::vector<RankedWorker> renewable; ///< With an expired ticket, and free capacity for a task.
    std::vector<RankedWorker> undecided; ///< Not decided on, and large enough for a task.
};

/** How many workers of each kind a request names at most. */
struct RequestLimits {
    std::size_t renewable = 0;
    std::size_t total = 0;
};

/** Workers that a request names in addition to one for each waiting task of the group. */
constexpr std::size_t spareWorkers = 4;
/** A ticket that expires sooner after the response is renewed, so that it is still valid in the pass that follows. */
constexpr Milliseconds renewalMargin{200};

/**
 * Returns the rank of a worker for a request about a group. Workers with capacity for a task go first, for each group
 * in another order: groups that asked about the same ones would take them from each other before they can use their
 * tickets. Of these, workers that the last pass reserved for planned gangs go last. The others go by free processor
 * capacity, the largest first.
 */
inline std::int64_t rankOf(const Entry &entry, const WorkerEvaluation &evaluation, WorkerRef worker)
{
    const auto &load = entry.workers.table.get<WorkerLoad>(worker);
    if (evaluation.hasCapacity(worker)) {
        const bool isReserved =
            load.reservedInPass + 1 == entry.work.pass.number && load.reservedForGangs != Resources{};
        const auto order = static_cast<std::int64_t>((digestOf(evaluation.group()) ^ digestOf(worker)) >> 3U);
        constexpr auto first = std::numeric_limits<std::int64_t>::min();
        return (isReserved ? first / 2 : first) + order; // before all others
    }
    return load.used.cpuMilli - entry.workers.table.get<WorkerIdentity>(worker).capacity.cpuMilli;
}

/** Finds the workers that a request about a group may name, unsorted. */
inline RequestCandidates findCandidates(Entry &entry, const WorkerEvaluation &evaluation)
{
    RequestCandidates candidates;
    const auto &tickets = entry.work.groups.get<GroupAdvice>(evaluation.group()).tickets;
    const auto &pool = evaluation.pool().workers;
    entry.counters.workersExamined += pool.size();
    for (const auto worker : pool) {
        if (!entry.workers.table.contains(worker)) {
            continue; // it has left since the last pass
        }
        if (!tickets.contains(worker)) {
            if (evaluation.isUsable(worker)) {
                candidates.undecided.emplace_back(rankOf(entry, evaluation, worker), worker);
            }
        } else if (evaluation.evaluate(worker) == Fit::NeedsTicket) {
            candidates.renewable.emplace_back(rankOf(entry, evaluation, worker), worker);
        }
    }
    return candidates;
}

/** Appends the first workers of a ranking. @param limit Maximum size of the result. */
inline void appendFirst(std::vector<RankedWorker> ranking, std::size_t limit, std::vector<WorkerRef> &workers)
{
    const auto n = std::min(ranking.size(), limit > workers.size() ? limit - workers.size() : 0);
    std::ranges::partial_sort(ranking, ranking.begin() + static_cast<std::ptrdiff_t>(n));
    for (std::size_t i = 0; i < n; ++i) {
        workers.push_back(ranking[i].second);
    }
}

/**
 * Returns how many workers of a ranking a group of single tasks can use: as many as have room for its tasks, and
 * `spareWorkers`.
 * @param grantedPart Part of the workers for which tickets are expected.
 * @param tasks Number of tasks that need room; reduced by those for which there is room.
 */
inline std::size_t usableWorkers(const Entry &entry,
                                 const WorkerEvaluation &evaluation,
                                 std::vector<RankedWorker> ranking,
                                 double grantedPart,
                                 double &tasks)
{
    std::ranges::sort(ranking);
    std::size_t n = 0;
    for (; n < ranking.size() && tasks > 0; ++n) {
        const auto worker = ranking[n].second;
        const auto free =
            entry.workers.table.get<WorkerIdentity>(worker).capacity - entry.workers.table.get<WorkerLoad>(worker).used;
        tasks -= grantedPart * static_cast<double>(std::max<std::size_t>(1, evaluation.tasksIn(free)));
    }
    return tasks > 0 ? n : n + static_cast<std::size_t>(static_cast<double>(spareWorkers) / grantedPart);
}

/** Returns how many workers a request about a group of single tasks names whose policy service is slow. */
inline RequestLimits
limitsOfUse(const Entry &entry, const WorkerEvaluation &evaluation, const RequestCandidates &candidates)
{
    const auto &advice = entry.work.groups.get<GroupAdvice>(evaluation.group());
    auto tasks = static_cast<double>(waitingTasks(entry, evaluation.group()));
    const auto renewable = usableWorkers(entry, evaluation, candidates.renewable, 1, tasks);
    if (tasks <= 0) {
        return {renewable, advice.workersToRenew.size() + renewable};
    }
    const auto grantedPart =
        static_cast<double>(advice.granted.size() + 1) / static_cast<double>(advice.tickets.size() + 2);
    const auto undecided = usableWorkers(entry, evaluation, candidates.undecided, grantedPart, tasks);
    return {renewable, std::min(workersPerRequest, advice.workersToRenew.size() + renewable + undecided)};
}

/**
 * Chooses the workers for a request about a group:
 * - first the workers with a placed run of the group whose ticket has expired;
 * - then workers with an expired ticket and free capacity for a task, up to the waiting tasks plus `spareWorkers`;
 * - then workers that the service has not decided on and that could run a task, up to `workersPerRequest` in total.
 * Workers of the second and of the third kind are each sorted by rankOf(). When the service is slow, only as many as
 * can be used are chosen.
 */
inline RequestWorkers chooseForTasks(Entry &entry, const WorkerEvaluation &evaluation)
{
    const auto &advice = entry.work.groups.get<GroupAdvice>(evaluation.group());
    auto candidates = findCandidates(entry, evaluation);
    RequestLimits limits{waitingTasks(entry, evaluation.group()) + spareWorkers, workersPerRequest};
    if (isAdviceSlow(evaluation.policy().advice) && !evaluation.step().gang) {
        limits = limitsOfUse(entry, evaluation, candidates);
    }
    RequestWorkers workers;
    workers.renewing = advice.workersToRenew;
    appendFirst(std::move(candidates.renewable), workers.renewing.size() + limits.renewable, workers.renewing);
    workers.renewing.resize(std::min(workers.renewing.size(), entry.maxAdviceWorkers));
    workers.all = workers.renewing;
    appendFirst(std::move(candidates.undecided), std::min(limits.total, entry.maxAdviceWorkers), workers.all);
    return workers;
}

/**
 * Chooses the workers for a later request about a planned gang: those of its free places whose tickets would have
 * expired when the response arrives, and undecided ones if the plan needs them. There are none if the places were taken
 * since the pass.
 */
inline RequestWorkers chooseForGang(Entry &entry, const WorkerEvaluation &evaluation)
{
    const auto &advice = entry.work.groups.get<GroupAdvice>(evaluation.group());
    const auto &plan = advice.gangPlan;
    RequestWorkers workers;
    workers.renewing = advice.workersToRenew;
    if (plan.renewsPlaces && !arePlacesFree(entry, evaluation.group())) {
        return {workers.renewing, workers.renewing};
    }
    const auto costMs = requestCostMs(evaluation.policy().advice, plan.places.size());
    const auto neededUntil = evaluation.now() + Milliseconds{static_cast<std::int64_t>(costMs)} + renewalMargin;
    for (const auto worker : plan.places) {
        const bool isNamed = std::ranges::find(workers.renewing, worker) != workers.renewing.end();
        if (!isNamed && (plan.renewsPlaces || plan.asksUndecided) && entry.workers.table.contains(worker)
            && evaluation.hasCapacity(worker) && !evaluation.hasTicketAt(worker, neededUntil)) {
            workers.renewing.push_back(worker);
        }
    }
    workers.renewing.resize(std::min(workers.renewing.size(), entry.maxAdviceWorkers));
    workers.all = workers.renewing;
    if (plan.asksUndecided) {
        appendFirst(findCandidates(entry, evaluation).undecided,
                    std::min(workersPerRequest, entry.maxAdviceWorkers),
                    workers.all);
    }
    return workers;
}

/** Chooses the workers for a request about a group. */
inline RequestWorkers chooseWorkers(Entry &entry, GroupRef group, const TickTime &time)
{
    const WorkerEvaluation evaluation(entry, group, time);
    const bool wasAsked = entry.work.groups.get<GroupAdvice>(group).requestCount > 0;
    return wasAsked && isPlannedGang(entry, group) ? chooseForGang(entry, evaluation)
                                                   : chooseForTasks(entry, evaluation);
}

} // namespace flamingotally::dispatch
