#include "dispatch/team_use_func.h"

#include "dispatch/entry_func.h"
#include "dispatch/past_use_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds writeInterval{5'000}; ///< Between two records: the use that an owner which dies may lose.
constexpr Milliseconds checkInterval{1'000}; ///< Between two comparisons with the last record, while it still holds.

/** Returns the record of the owner's table at the current time. */
TeamUseRecord currentRecord(const Entry &entry, const TickTime &time)
{
    const auto &table = entry.pastUse.table;
    std::vector<TeamUseRow> rows;
    rows.reserve(table.size());
    table.forEach([&](TeamUseRef it) {
        const auto milliCores = std::llround(table.get<UseAverage>(it).cores * milliPerCore);
        rows.push_back({table.get<TeamUseIdentity>(it).team, static_cast<std::uint64_t>(milliCores)});
    });
    return makeTeamUseRecord(std::move(rows), wallAt(entry, time.now));
}

} // namespace

UseInCores useOf(const Entry &entry, const std::string &team)
{
    UseInCores use;
    if (const auto it = entry.work.teamUse.find(team); it != entry.work.teamUse.end()) {
        use.present = coresOf(it->second);
    }
    if (const auto it = entry.pastUse.byTeam.find(team); it != entry.pastUse.byTeam.end()) {
        use.past = entry.pastUse.table.get<UseAverage>(it->second).cores;
    }
    return use;
}

std::vector<TeamUse> busiestTeams(const Entry &entry, std::size_t limit)
{
    std::vector<TeamUse> teams;
    for (const auto &[team, ref] : entry.pastUse.byTeam) {
        teams.push_back({team, useOf(entry, team)});
    }
    for (const auto &[team, resources] : entry.work.teamUse) {
        if (resources != Resources{} && !entry.pastUse.byTeam.contains(team)) {
            teams.push_back({team, useOf(entry, team)});
        }
    }
    std::ranges::sort(teams, [](const TeamUse &a, const TeamUse &b) {
        const auto sumOfA = a.use.present + a.use.past;
        const auto sumOfB = b.use.present + b.use.past;
        return sumOfA != sumOfB ? sumOfA > sumOfB : a.team < b.team;
    });
    teams.resize(std::min(teams.size(), limit));
    return teams;
}

void applyTeamUse(Entry &entry, const TeamUseRecord &record)
{
    auto &state = entry.pastUse;
    if (isPlausible(record)) {
        state.newest = record;
        return;
    }
    state.newest.reset();
    if (!std::exchange(state.malformedLogged, true)) {
        logEvent(entry, EventKind::TeamUseMalformed, 0, "teams={}", record.teams.size());
    }
}

void queueTeamUse(Entry &entry, const TickTime &time)
{
    auto &state = entry.pastUse;
    const bool isDue = entry.isOwner() && state.token == entry.ownership.token && time.now >= state.nextWriteAt;
    if (!isDue || entry.writer(JournalWriter::Owner).queue.empty()) {
        return;
    }
    auto record = currentRecord(entry, time);
    if (!hasChanged(state.written, record, entry.settings.useHalfLife)) {
        state.nextWriteAt = time.now + checkInterval;
        return;
    }
    state.nextWriteAt = time.now + writeInterval;
    state.written = record;
    queueRecord(entry, JournalWriter::Owner, std::move(record));
}

} // namespace flamingotally::dispatch
