#include "dispatch/past_use_func.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace flamingotally::dispatch
{

namespace
{

constexpr double percentPerUnit = 100;
constexpr double relativeTolerance = 0.01; ///< Relative change up to which no new record is written.
/** Most past use in a record, far above the capacity of any cell: a billion cores. */
constexpr std::uint64_t maxMilliCores = 1'000'000'000'000;

bool differs(double stored, double current)
{
    const auto tolerance = std::max(idleCores, relativeTolerance * std::max(stored, current));
    return std::abs(stored - current) > tolerance;
}

} // namespace

double decayFactor(Milliseconds elapsed, Milliseconds halfLife)
{
    if (halfLife <= Milliseconds{0}) {
        return 0;
    }
    const auto passed = std::max(elapsed, Milliseconds{0});
    return std::exp2(-static_cast<double>(passed.count()) / static_cast<double>(halfLife.count()));
}

double averageAfter(double average, double use, double decay)
{
    return average * decay + use * (1 - decay);
}

double usePerShare(double present, double past, std::uint32_t weightPercent, double share)
{
    return (present + past * weightPercent / percentPerUnit) / std::max(share, smallestShare);
}

TeamUseRecord makeTeamUseRecord(std::vector<TeamUseRow> rows, Milliseconds writtenAt)
{
    std::erase_if(rows, [](const TeamUseRow &it) { return it.milliCores == 0 || it.milliCores > maxMilliCores; });
    if (rows.size() > maxTeamsInRecord) {
        std::ranges::nth_element(rows,
                                 rows.begin() + static_cast<std::ptrdiff_t>(maxTeamsInRecord),
                                 std::ranges::greater{},
                                 &TeamUseRow::milliCores);
        rows.resize(maxTeamsInRecord);
    }
    std::ranges::sort(rows, {}, &TeamUseRow::team);
    TeamUseRecord record;
    record.writtenAt = writtenAt;
    record.teams = std::move(rows);
    return record;
}

double coresAfter(const TeamUseRow &row, double decay)
{
    return static_cast<double>(row.milliCores) / milliPerCore * decay;
}

bool isPlausible(const TeamUseRecord &record)
{
    const auto &teams = record.teams;
    const bool isBounded = teams.size() <= maxTeamsInRecord
        && std::ranges::all_of(teams, [](const TeamUseRow &it) { return it.milliCores <= maxMilliCores; });
    const auto unordered = std::ranges::adjacent_find(teams, std::ranges::greater_equal{}, &TeamUseRow::team);
    return !record.isMalformed && isBounded && unordered == teams.end();
}

bool hasChanged(const TeamUseRecord &stored, const TeamUseRecord &current, Milliseconds halfLife)
{
    const auto decay = decayFactor(current.writtenAt - stored.writtenAt, halfLife);
    auto before = stored.teams.begin();
    for (const auto &now : current.teams) {
        for (; before != stored.teams.end() && before->team < now.team; ++before) {
            if (differs(coresAfter(*before, decay), 0)) {
                return true;
            }
        }
        const bool isSameTeam = before != stored.teams.end() && before->team == now.team;
        if (differs(isSameTeam ? coresAfter(*before++, decay) : 0, coresAfter(now, 1))) {
            return true;
        }
    }
    return std::any_of(
        before, stored.teams.end(), [&](const TeamUseRow &it) { return differs(coresAfter(it, decay), 0); });
}

} // namespace flamingotally::dispatch
