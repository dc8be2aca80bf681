#include "policy/room.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr std::uint32_t maxProbeDoublings = 10;

double reciprocal(std::int64_t amount)
{
    return amount > 0 ? 1.0 / static_cast<double>(amount) : 0.0;
}

RowUse useOf(const Tables &tables, WorkerRef worker, LogTime now)
{
    const auto &state = tables.workers.get<WorkerState>(worker);
    const auto domain = tables.workers.get<WorkerLocation>(worker).domain;
    if (!tables.domains.contains(domain) || tables.domains.get<DomainState>(domain).service != DomainService::In) {
        return RowUse::Closed;
    }
    if (state.service == WorkerService::SetAside) {
        const auto pause = probePause * (std::int64_t{1} << std::min(state.recentFailures, maxProbeDoublings));
        return state.changedAt + pause <= now && tables.workers.get<WorkerCapacity>(worker).attempts == 0
            ? RowUse::Probe
            : RowUse::Closed;
    }
    return state.service == WorkerService::Live ? RowUse::Open : RowUse::Closed;
}

/** Part of a domain's room that may be used so long after its return. */
double rampOf(const DomainState &state, LogTime now)
{
    const auto since = now - state.changedAt;
    if (state.version == 0 || since >= domainRamp) {
        return 1.0;
    }
    const double part = static_cast<double>(since.count()) / static_cast<double>(domainRamp.count());
    return std::clamp(part, 0.0, 1.0);
}

/** Cuts what is free to the part of the whole that may be used. */
Resources cutToPart(const WorkerCapacity &room, double part)
{
    auto cut = [part](std::int64_t total, std::int64_t used) {
        const auto usable = static_cast<std::int64_t>(static_cast<double>(total) * part);
        return std::clamp<std::int64_t>(usable - used, 0, total - used);
    };
    return {cut(room.total.cpuMilli, room.used.cpuMilli),
            cut(room.total.memoryMb, room.used.memoryMb),
            cut(room.total.accelerators, room.used.accelerators)};
}

void resizeRooms(RoomTable &rooms, std::size_t size)
{
    rooms.free.assign(size, Resources{});
    rooms.soon.assign(size, Resources{});
    rooms.total.assign(size, Resources{});
    rooms.use.assign(size, RowUse::Closed);
    rooms.workers.assign(size, WorkerRef{});
    rooms.domains.assign(size, 0);
    rooms.racks.assign(size, 0);
    rooms.perCpu.assign(size, 0.0);
    rooms.perMemory.assign(size, 0.0);
    rooms.capacity = {};
}

} // namespace

void fillRooms(RoomTable &rooms, const Tables &tables, LogTime now)
{
    resizeRooms(rooms, tables.workers.capacity());
    tables.workers.forEach([&](WorkerRef worker) {
        const auto n = worker.index;
        const auto &room = tables.workers.get<WorkerCapacity>(worker);
        const auto &place = tables.workers.get<WorkerLocation>(worker);
        rooms.workers[n] = worker;
        rooms.use[n] = useOf(tables, worker, now);
        rooms.domains[n] = place.domain.index;
        rooms.racks[n] = place.rack.index;
        if (rooms.use[n] == RowUse::Closed) {
            return;
        }
        const double ramp = rampOf(tables.domains.get<DomainState>(place.domain), now);
        rooms.free[n] = ramp < 1.0 ? cutToPart(room, ramp) : room.free();
        rooms.total[n] = room.total;
        rooms.perCpu[n] = reciprocal(room.total.cpuMilli);
        rooms.perMemory[n] = reciprocal(room.total.memoryMb);
        rooms.capacity += room.total;
    });
}

void fillTeamUse(TeamUseTable &teams, const Tables &tables, const Resources &capacity)
{
    teams.use.assign(tables.teams.capacity(), Resources{});
    teams.leaving.assign(tables.teams.capacity(), Resources{});
    teams.perShare.assign(tables.teams.capacity(), 1.0);
    teams.capacity = capacity;
    tables.teams.forEach([&](TeamRef team) {
        teams.use[team.index] = tables.teams.get<TeamUsage>(team).running;
        teams.perShare[team.index] = reciprocal(std::max<std::int64_t>(1, tables.teams.get<TeamPolicy>(team).share));
    });
}

double dominantPart(const Resources &amount, const Resources &whole)
{
    auto part = [](std::int64_t some, std::int64_t all) {
        return all > 0 ? static_cast<double>(some) / static_cast<double>(all) : 0.0;
    };
    return std::max({part(amount.cpuMilli, whole.cpuMilli),
                     part(amount.memoryMb, whole.memoryMb),
                     part(amount.accelerators, whole.accelerators)});
}

double levelOf(const TeamUseTable &teams, TeamRef team, const Resources &more)
{
    const Resources use = teams.use[team.index] - teams.leaving[team.index] + more;
    return dominantPart(use, teams.capacity) * teams.perShare[team.index];
}

bool withinLimit(const Tables &tables, const TeamUseTable &teams, TeamRef team, const Resources &more)
{
    return (teams.use[team.index] + more).fitsInto(tables.teams.get<TeamPolicy>(team).limit);
}

Resources smallerOf(const Resources &one, const Resources &other)
{
    return {std::min(one.cpuMilli, other.cpuMilli),
            std::min(one.memoryMb, other.memoryMb),
            std::min(one.accelerators, other.accelerators)};
}

void takeRoom(RoomTable &rooms, TeamUseTable &teams, std::size_t row, TeamRef team, const Resources &amount)
{
    rooms.free[row] -= amount;
    teams.use[team.index] += amount;
}

} // namespace flamingotally
