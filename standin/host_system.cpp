#include "standin_systems.h"

namespace flamingotally::standin
{

namespace
{

/** Appends a snapshot of the current host list. */
void takeSnapshot(Standin &standin, const StandinTime &time)
{
    HostSnapshot snapshot{time.now, {}};
    standin.hosts.forEach([&](HostRef ref) {
        const auto state = standin.hosts.get<HostFaults>(ref).state;
        if (state != HostState::Gone) {
            snapshot.hosts.push_back(standin.hosts.get<HostRow>(ref));
            snapshot.hosts.back().leaving = state == HostState::Leaving;
        }
    });
    standin.hostSnapshots.push_back(std::move(snapshot));
    standin.hostsChanged = false;
}

/** Drops every snapshot that is followed by one that is at least hostListLag old. */
void dropSnapshots(Standin &standin, const StandinTime &time)
{
    auto &snapshots = standin.hostSnapshots;
    while (snapshots.size() > 1 && snapshots[1].takenAt + standin.settings.hostListLag <= time.now) {
        snapshots.pop_front();
    }
}

} // namespace

HostRef addHost(Standin &standin, const HostRow &row)
{
    standin.hostsChanged = true;
    return standin.hosts.insert(row, {}, {});
}

HostRef addWorker(Standin &standin, const HostRow &row, const Resources &total, const StandinTime &time)
{
    constexpr std::uint64_t bootIdsPerMillisecond = 1'000;
    constexpr Milliseconds clockOffsetPerHost{7'919}; // Gives each worker a different clock.
    const auto ref = addHost(standin, row);
    auto &state = standin.hosts.get<SimWorker>(ref);
    state.bootId = static_cast<std::uint64_t>(time.wall.time_since_epoch().count()) * bootIdsPerMillisecond + ref.index;
    state.total = total;
    state.clockOffset = clockOffsetPerHost * (ref.index + 1);
    standin.workers.push_back(ref);
    return ref;
}

void hostSystem(Standin &standin, const StandinTime &time)
{
    if (standin.hostsChanged) {
        takeSnapshot(standin, time);
    }
    dropSnapshots(standin, time);
    for (const auto &it : standin.inbox) {
        if (!std::holds_alternative<HostsRequest>(it.body)) {
            continue;
        }
        if (standin.faults.isHostListDown) {
            standin.outbox.push_back({it.handle, Refusal{503, "The host list is down."}});
            continue;
        }
        standin.outbox.push_back({it.handle, standin.hostSnapshots.front().hosts});
    }
}

} // namespace flamingotally::standin
