/** @file profile_func.h Validation of profiles. */
#pragma once

#include "profile_base.h"

#include <string_view>

namespace flamingotally
{

/** Limits of the values of a profile. */
namespace profilelimits
{
constexpr Milliseconds minLease{1'000};
constexpr Milliseconds maxLease{600'000};
constexpr Milliseconds maxBackoff{60'000}; ///< Longest backoff, both as set in a profile and after doublings.
constexpr std::uint32_t maxRetries = 100;
} // namespace profilelimits

/**
 * Validates a profile without reference to the tables.
 * @param spec The profile.
 * @return Description of the first invalid value; empty when the profile is valid.
 */
std::string_view profileError(const ProfileSpec &spec);

} // namespace flamingotally
