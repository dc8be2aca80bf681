#include "policy/live_attempts.h"

#include <algorithm>
#include <numeric>

namespace flamingotally
{

namespace
{

LiveAttempt rowFor(const Tables &tables, AttemptRef attempt, const AttemptNumberSet &stopsInHand)
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
    row.held = state.held;
    row.placedAt = state.placedAt;
    row.checkpoint = profileSpec.checkpoint && profileSpec.kind != WorkKind::Gang;
    row.stopping = state.stop != StopCause::None || stopsInHand.contains(identity.number);
    row.pinned = profileSpec.kind == WorkKind::Service;
    return row;
}

/** Sorts rows by worker in one pass over counts. */
void groupByWorker(LiveAttemptTable &attempts, std::size_t workers)
{
    attempts.firstOf.assign(workers + 1, 0);
    for (const auto &row : attempts.rows) {
        ++attempts.firstOf[row.worker + 1];
    }
    std::partial_sum(attempts.firstOf.begin(), attempts.firstOf.end(), attempts.firstOf.begin());
    std::vector<LiveAttempt> sorted(attempts.rows.size());
    auto next = attempts.firstOf;
    for (const auto &row : attempts.rows) {
        sorted[next[row.worker]++] = row;
    }
    attempts.rows = std::move(sorted);
}

/** Tells whether taking from one team to give to another brings both nearer to their shares. */
bool swapHelps(const TeamUseTable &teams, const LiveAttempt &victim, const RoomClaim &claim)
{
    const double after = levelOf(teams, claim.team, claim.amount);
    const double victimAfter = levelOf(teams, victim.team, Resources{} - victim.held);
    return after <= victimAfter;
}

bool mayStop(const TeamUseTable &teams, const LiveAttempt &victim, const RoomClaim &claim, LogTime now)
{
    if (!victim.checkpoint || victim.stopping || victim.urgency == Urgency::Urgent) {
        return false;
    }
    if (claim.urgency == Urgency::Urgent) {
        return true;
    }
    if (victim.team == claim.team) {
        return victim.urgency > claim.urgency;
    }
    return now - victim.placedAt >= minRunBeforePreemption && swapHelps(teams, victim, claim);
}

/** Adds up what may be stopped on one worker, newest first, until the claim fits; nothing when it never does. */
std::optional<StopSet> stopsOn(const LiveAttemptTable &attempts,
                               const RoomTable &rooms,
                               const TeamUseTable &teams,
                               const RoomClaim &claim,
                               std::size_t row,
                               LogTime now)
{
    StopSet set{row, {}};
    for (auto n = attempts.firstOf[row]; n < attempts.firstOf[row + 1]; ++n) {
        if (mayStop(teams, attempts.rows[n], claim, now)) {
            set.attempts.push_back(n);
        }
    }
    std::ranges::sort(set.attempts, [&](std::uint32_t left, std::uint32_t right) {
        const auto &one = attempts.rows[left];
        const auto &other = attempts.rows[right];
        return std::tie(one.placedAt, one.number) > std::tie(other.placedAt, other.number);
    });
    Resources room = rooms.free[row] + rooms.soon[row];
    std::size_t used = 0;
    while (!claim.amount.fitsInto(room)) {
        if (used == set.attempts.size()) {
            return std::nullopt;
        }
        room += attempts.rows[set.attempts[used++]].held;
    }
    set.attempts.resize(used);
    return set;
}

} // namespace

void fillLiveAttempts(LiveAttemptTable &attempts,
                      RoomTable &rooms,
                      TeamUseTable &teams,
                      const Tables &tables,
                      const AttemptNumberSet &stopsInHand)
{
    attempts.rows.clear();
    tables.attempts.forEach([&](AttemptRef attempt) { attempts.rows.push_back(rowFor(tables, attempt, stopsInHand)); });
    groupByWorker(attempts, rooms.size());
    attempts.attainable = rooms.total;
    for (const auto &row : attempts.rows) {
        if (!row.stopping) {
            attempts.attainable[row.worker] -= row.pinned ? row.held : Resources{};
            continue;
        }
        teams.leaving[row.team.index] += row.held;
        if (rooms.use[row.worker] != RowUse::Closed) {
            rooms.soon[row.worker] += row.held;
        }
    }
}

std::optional<StopSet> chooseStops(const LiveAttemptTable &attempts,
                                   const RoomTable &rooms,
                                   const TeamUseTable &teams,
                                   const RoomClaim &claim,
                                   LogTime now)
{
    std::optional<StopSet> best;
    double leastLost = 0.0;
    for (std::size_t row = 0; row < rooms.size(); ++row) {
        if (rooms.use[row] != RowUse::Open || !claim.amount.fitsInto(rooms.total[row])) {
            continue;
        }
        auto set = stopsOn(attempts, rooms, teams, claim, row, now);
        if (!set) {
            continue;
        }
        Resources lost;
        for (const auto n : set->attempts) {
            lost += attempts.rows[n].held;
        }
        if (const double part = dominantPart(lost, rooms.capacity); !best || part < leastLost) {
            leastLost = part;
            best = std::move(set);
        }
    }
    return best;
}

} // namespace flamingotally
