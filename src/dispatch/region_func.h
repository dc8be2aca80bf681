/** @file region_func.h Regions: groups of failure domains with fast links to each other and a narrow link to others. */
#pragma once

#include "dispatch/entry_settings.h"

#include <string>
#include <string_view>

namespace flamingotally::dispatch
{

/** Returns the region of a failure domain; empty if the settings name none. */
std::string_view regionOf(const EntrySettings &settings, std::string_view domain);

/** Returns true if the settings name at least two regions, so that traffic between them is to be spared. */
bool hasSeveralRegions(const EntrySettings &settings);

} // namespace flamingotally::dispatch
