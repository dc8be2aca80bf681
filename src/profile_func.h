/** @file profile_func.h Judging profiles. */
#pragma once

#include "profile_base.h"

#include <string_view>

namespace flamingotally
{

/** Bounds of a profile's values. */
namespace profilelimits
{
constexpr Milliseconds minLease{1'000};
constexpr Milliseconds maxLease{600'000};
constexpr Milliseconds maxBackoff{60'000}; ///< Also the ceiling of the doubled pauses.
constexpr std::uint32_t maxRetries = 100;
} // namespace profilelimits

/**
 * Checks a profile by itself.
 * @param spec The profile.
 * @return What is wrong with it, one sentence; empty when nothing is.
 */
std::string_view profileFault(const ProfileSpec &spec);

} // namespace flamingotally
