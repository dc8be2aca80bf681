#include "dispatch/region_func.h"

namespace flamingotally::dispatch
{

namespace
{

/** A failure domain with its region. */
struct DomainRegion {
    std::string_view domain;
    std::string_view region;
};

/** Removes the first pair from a list of "domain=region" pairs and returns it; a part without '=' has no region. */
DomainRegion consumePair(std::string_view &pairs)
{
    const auto comma = pairs.find(',');
    const auto pair = pairs.substr(0, comma);
    pairs = comma == std::string_view::npos ? std::string_view{} : pairs.substr(comma + 1);
    const auto equals = pair.find('=');
    return equals == std::string_view::npos ? DomainRegion{pair, {}}
                                            : DomainRegion{pair.substr(0, equals), pair.substr(equals + 1)};
}

} // namespace

std::string_view regionOf(const EntrySettings &settings, std::string_view domain)
{
    std::string_view pairs = settings.regions;
    while (!pairs.empty()) {
        if (const auto it = consumePair(pairs); it.domain == domain) {
            return it.region;
        }
    }
    return {};
}

bool hasSeveralRegions(const EntrySettings &settings)
{
    std::string_view pairs = settings.regions;
    const auto first = pairs.empty() ? std::string_view{} : consumePair(pairs).region;
    while (!pairs.empty()) {
        if (consumePair(pairs).region != first) {
            return true;
        }
    }
    return false;
}

} // namespace flamingotally::dispatch
