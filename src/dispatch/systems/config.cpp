#include "dispatch/entry_func.h"
#include "dispatch/systems/systems.h"

namespace flamingotally::dispatch
{

namespace
{

/** Replaces the current configuration if the given one is newer. */
void applyConfiguration(Entry &entry, Configuration configuration)
{
    auto &view = entry.config;
    if (view.loaded && configuration.version <= view.current.version) {
        return;
    }
    view.current = std::move(configuration);
    view.loaded = true;
    view.teamByKey.clear();
    view.teamByName.clear();
    for (std::size_t n = 0; n < view.current.teams.size(); ++n) {
        const auto &team = view.current.teams[n];
        view.teamByName[team.name] = n;
        for (const auto &key : team.keys) {
            view.teamByKey[key] = n;
        }
    }
    entry.work.passRequested = true;
    logEvent(entry,
             EventKind::ConfigApplied,
             0,
             "version={} queues={} teams={}",
             view.current.version,
             view.current.queues.size(),
             view.current.teams.size());
}

} // namespace

void configSystem(Entry &entry, const TickTime & /*time*/)
{
    for (auto &read : entry.inbox.configReads) {
        if (read.failed) {
            continue;
        }
        if (read.configuration) {
            applyConfiguration(entry, std::move(*read.configuration));
        }
        if (read.domainsOut) {
            entry.config.domainsOut = std::move(read.domainsOut->names);
            entry.work.passRequested = true;
        }
        entry.config.asOf = std::max(entry.config.asOf, read.sentAt);
    }
}

} // namespace flamingotally::dispatch
