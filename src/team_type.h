/** @file team_type.h Teams and their keys: references and roles. */
#pragma once

#include "core/table.h"

#include <array>

namespace flamingotally
{

struct TeamTag;
using TeamRef = Ref<TeamTag>;

struct KeyTag;
using KeyRef = Ref<KeyTag>;

/** SHA-256 of a key. The key itself is never stored or logged. */
using KeyDigest = std::array<std::uint8_t, 32>;

/** Set of actions that a key allows. */
enum class KeyRole : std::uint8_t {
    Submitter, ///< Submits and manages the work of its team.
    Operator, ///< Changes the configuration.
    End,
};

} // namespace flamingotally
