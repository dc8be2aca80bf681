#include "dispatch/entry_func.h"
#include "dispatch/past_use_func.h"
#include "dispatch/systems/systems.h"
#include "dispatch/team_use_func.h"

namespace flamingotally::dispatch
{

namespace
{

/** Between two updates: each is a pass over all teams, and a tenth of a second is little against any half-life. */
constexpr Milliseconds updateInterval{100};
constexpr Milliseconds firstWriteDelay{5'000}; ///< The previous owner may have written its record just now.

void insertTeam(PastUse &state, const std::string &team, double cores)
{
    state.byTeam.emplace(team, state.table.insert({team}, {cores}));
}

/** Empties the table. The newest record of the journal stays for the next ownership. */
void dropTable(PastUse &state)
{
    state.table = {};
    state.byTeam.clear();
    state.written = {};
    state.token = 0;
}

/** Begins the table of a new owner with the record of the previous one, decayed by the wall time since. */
void takeOver(Entry &entry, const TickTime &time)
{
    auto &state = entry.pastUse;
    dropTable(state);
    state.token = entry.ownership.token;
    state.updatedAt = time.now;
    state.nextWriteAt = time.now + firstWriteDelay;
    if (!state.newest) {
        return;
    }
    state.written = *state.newest;
    const auto elapsed = wallAt(entry, time.now) - state.written.writtenAt;
    const auto decay = decayFactor(elapsed, entry.settings.useHalfLife);
    for (const auto &row : state.written.teams) {
        if (const auto cores = coresAfter(row, decay); cores >= idleCores) {
            insertTeam(state, row.team, cores);
        }
    }
}

/** Updates the averages of the teams in the table, and drops those that are idle. */
void updateAverages(Entry &entry, double decay)
{
    auto &state = entry.pastUse;
    state.table.forEach([&](TeamUseRef ref) {
        const auto &team = state.table.get<TeamUseIdentity>(ref).team;
        const bool isConfigured = entry.config.teamByName.contains(team);
        const auto use = isConfigured ? useOf(entry, team).present : 0.0;
        auto &average = state.table.get<UseAverage>(ref);
        average.cores = averageAfter(average.cores, use, decay);
        if (use <= 0 && average.cores < idleCores) {
            state.byTeam.erase(team);
            state.table.erase(ref);
        }
    });
}

/** Adds the teams that have begun to use resources. */
void addNewTeams(Entry &entry, double decay)
{
    auto &state = entry.pastUse;
    for (const auto &[team, resources] : entry.work.teamUse) {
        const bool isNew = !state.byTeam.contains(team) && entry.config.teamByName.contains(team);
        if (const auto use = coresOf(resources); isNew && use > 0) {
            insertTeam(state, team, averageAfter(0, use, decay));
        }
    }
}

} // namespace

void pastUseSystem(Entry &entry, const TickTime &time)
{
    auto &state = entry.pastUse;
    if (!entry.isOwner() || entry.settings.useHalfLife <= Milliseconds{0}) {
        dropTable(state);
        return;
    }
    if (state.token != entry.ownership.token) {
        takeOver(entry, time);
        return;
    }
    if (time.now - state.updatedAt < updateInterval) {
        return;
    }
    const auto decay = decayFactor(time.now - state.updatedAt, entry.settings.useHalfLife);
    state.updatedAt = time.now;
    updateAverages(entry, decay);
    addNewTeams(entry, decay);
}

} // namespace flamingotally::dispatch
