#include "dispatch/region_link.h"

#include "dispatch/policy/order_pacing.h"
#include "dispatch/region_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

std::uint32_t regionIndexOf(Entry &entry, std::string_view domain)
{
    const auto &settings = entry.settings;
    const auto name = hasSeveralRegions(settings) ? regionOf(settings, domain) : std::string_view{};
    auto &regions = entry.workers.regions;
    auto it = std::ranges::find(regions, name, &RegionLink::name);
    if (it == regions.end()) {
        RegionLink link;
        link.name = name;
        link.pacing.isLinkShared = name != regionOf(settings, settings.domain);
        it = regions.insert(regions.end(), std::move(link));
    }
    return static_cast<std::uint32_t>(it - regions.begin());
}

bool areAllBacklogged(const Workers &workers)
{
    const auto hasWorkers = [&](const RegionLink &it) {
        return it.listed > 0 || workers.regions.size() == 1;
    };
    const bool isAnyUsed = std::ranges::any_of(workers.regions, hasWorkers);
    return isAnyUsed && std::ranges::all_of(workers.regions, [&](const RegionLink &it) {
               return !hasWorkers(it) || isBacklogged(it.pacing);
           });
}

bool isInDoubt(const Workers &workers, const RegionLink &link, MonotonicTime now)
{
    const auto &all = workers.silence;
    const bool isWidespread = all.silent * 2 > all.listed && all.silentInOwnDomain * 2 >= all.listedInOwnDomain;
    return wasCongested(link.pacing, now) || (isWidespread && link.silent * 2 > link.listed);
}

void countSilence(Workers &workers, std::string_view ownDomain)
{
    workers.silence = {};
    for (auto &it : workers.regions) {
        it.listed = 0;
        it.silent = 0;
    }
    workers.table.forEach([&](WorkerRef worker) {
        if (!workers.table.get<WorkerHealth>(worker).listed) {
            return;
        }
        const bool isSilent = workers.table.get<WorkerLink>(worker).missedPolls > 0;
        const bool isOwn = workers.table.get<WorkerIdentity>(worker).domain == ownDomain;
        auto &sum = workers.silence;
        sum.listed += 1;
        sum.silent += isSilent ? 1 : 0;
        sum.listedInOwnDomain += isOwn ? 1 : 0;
        sum.silentInOwnDomain += isOwn && isSilent ? 1 : 0;
        auto &link = linkOf(workers, worker);
        link.listed += 1;
        link.silent += isSilent ? 1 : 0;
    });
}

} // namespace flamingotally::dispatch
