#include "policy/live_attempts.h"

#include <algorithm>
#include <numeric>

namespace flamingotally
{

namespace
{

LiveAttempt rowFor(const Tables &tables, AttemptRef attempt, const AttemptNumberSet &proposedStops)
{
    const auto &identity = tables.attempts.get<AttemptIdentity>(attempt);
    const auto &state = tables.attempts.get<AttemptState>(attempt);
    const auto job = tables.tasks.get<TaskIdentity>(identity.task).job;
    const auto &profileSpec = tables.jobs.get<JobSpec>(job).profileSpec;
    LiveAttempt row;
    row.number = identity.number;
    row.worker = identity.worker.index;
    row.team = tables.jobs.get<JobIdentity>(job).team;
    row.urgency = profileSpec.urgency;
    row.resources = state.reserved;
    row.placedAt = state.placedAt;
    row.canCheckpoint = profileSpec.checkpoint && profileSpec.kind != WorkKind::Gang;
    row.isStopping = state.stop != StopCause::None || proposedStops.contains(identity.number);
    row.runsForever = profileSpec.kind == WorkKind::Service;
    return row;
}

/** Sorts the rows by worker with a counting sort. */
void groupByWorker(LiveAttemptTable &attempts, std::size_t workers)
{
    attempts.firstRow.assign(workers + 1, 0);
    for (const auto &row : attempts.rows) {
        ++attempts.firstRow[row.worker + 1];
    }
    std::partial_sum(attempts.firstRow.begin(), attempts.firstRow.end(), attempts.firstRow.begin());
    std::vector<LiveAttempt> sorted(attempts.rows.size());
    auto next = attempts.firstRow;
    for (const auto &row : attempts.rows) {
        sorted[next[row.worker]++] = row;
    }
    attempts.rows = std::move(sorted);
}

/**
 * Returns true if, after the preemption, the level of the claiming team would not be above that of the victim's team,
 * so that both come nearer to their shares.
 */
bool improvesFairness(const TeamUseTable &teams, const LiveAttempt &victim, const CapacityClaim &claim)
{
    const double after = levelOf(teams, claim.team, claim.amount);
    const double victimAfter = levelOf(teams, victim.team, Resources{} - victim.resources);
    return after <= victimAfter;
}

/** Returns true if an attempt may be preempted for a claim. */
bool mayPreempt(const TeamUseTable &teams, const LiveAttempt &victim, const CapacityClaim &claim, LogTime now)
{
    if (!victim.canCheckpoint || victim.isStopping || victim.urgency == Urgency::Urgent) {
        return false;
    }
    if (claim.urgency == Urgency::Urgent) {
        return true;
    }
    if (victim.team == claim.team) {
        return victim.urgency > claim.urgency;
    }
    return now - victim.placedAt >= minRunTimeBeforePreemption && improvesFairness(teams, victim, claim);
}

/**
 * Returns the attempts to stop on one worker so that a claim fits, newest first; nothing if the claim does not fit
 * after all permitted stops.
 */
std::optional<StopSet> stopsForClaim(const LiveAttemptTable &attempts,
                                     const CapacityTable &capacities,
                                     const TeamUseTable &teams,
                                     const CapacityClaim &claim,
                                     std::size_t row,
                                     LogTime now)
{
    StopSet set{row, {}};
    for (auto n = attempts.firstRow[row]; n < attempts.firstRow[row + 1]; ++n) {
        if (mayPreempt(teams, attempts.rows[n], claim, now)) {
            set.attempts.push_back(n);
        }
    }
    std::ranges::sort(set.attempts, [&](std::uint32_t left, std::uint32_t right) {
        const auto &one = attempts.rows[left];
        const auto &other = attempts.rows[right];
        return std::tie(one.placedAt, one.number) > std::tie(other.placedAt, other.number);
    });
    Resources available = capacities.free[row] + capacities.releasing[row];
    std::size_t used = 0;
    while (!claim.amount.fitsInto(available)) {
        if (used == set.attempts.size()) {
            return std::nullopt;
        }
        available += attempts.rows[set.attempts[used++]].resources;
    }
    set.attempts.resize(used);
    return set;
}

} // namespace

void fillLiveAttempts(LiveAttemptTable &attempts,
                      CapacityTable &capacities,
                      TeamUseTable &teams,
                      const Tables &tables,
                      const AttemptNumberSet &proposedStops)
{
    attempts.rows.clear();
    tables.attempts.forEach(
        [&](AttemptRef attempt) { attempts.rows.push_back(rowFor(tables, attempt, proposedStops)); });
    groupByWorker(attempts, capacities.size());
    attempts.attainable = capacities.total;
    for (const auto &row : attempts.rows) {
        if (!row.isStopping) {
            attempts.attainable[row.worker] -= row.runsForever ? row.resources : Resources{};
            continue;
        }
        teams.releasing[row.team.index] += row.resources;
        if (capacities.eligibility[row.worker] != WorkerEligibility::Closed) {
            capacities.releasing[row.worker] += row.resources;
        }
    }
}

std::optional<StopSet> chooseStops(const LiveAttemptTable &attempts,
                                   const CapacityTable &capacities,
                                   const TeamUseTable &teams,
                                   const CapacityClaim &claim,
                                   LogTime now)
{
    std::optional<StopSet> best;
    double leastLost = 0.0;
    for (std::size_t row = 0; row < capacities.size(); ++row) {
        if (capacities.eligibility[row] != WorkerEligibility::Open || !claim.amount.fitsInto(capacities.total[row])) {
            continue;
        }
        auto set = stopsForClaim(attempts, capacities, teams, claim, row, now);
        if (!set) {
            continue;
        }
        Resources lost;
        for (const auto n : set->attempts) {
            lost += attempts.rows[n].resources;
        }
        if (const double part = dominantFraction(lost, capacities.capacity); !best || part < leastLost) {
            leastLost = part;
            best = std::move(set);
        }
    }
    return best;
}

} // namespace flamingotally
