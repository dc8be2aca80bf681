/** @file key_func.h Lookup of keys by digest, and the rights they give. Secret keys are never stored or logged. */
#pragma once

#include "key_digest.h"
#include "reason_type.h"
#include "settings_type.h"
#include "tables.h"

#include <optional>
#include <string>
#include <string_view>

namespace flamingotally
{

/**
 * Finds the row of a key by the key's digest, even if the key is withdrawn. Compares the digest with those of all keys;
 * each comparison takes constant time.
 * @return Reference to the row; unset if no row has the digest.
 */
KeyRef findKey(const Tables &tables, const KeyDigest &digest);

/** Rights of the bearer of a key, according to this daemon's tables and settings. */
struct BearerRights {
    Reason reason = Reason::KeyMissing; ///< Reason why the key gives no rights; `None` when it gives rights.
    KeyRef key; ///< Row of the key; unset for the bootstrap operator's key, and if no row was found.
    KeyRole role = KeyRole::Submitter; ///< Valid only if `reason` is `None`.
    TeamRef team; ///< Team that the key acts for; unset for operators.

    /** Returns whether the key gives the rights of an operator. */
    bool isOperator() const
    {
        return reason == Reason::None && role == KeyRole::Operator;
    }
};

/**
 * Determines the rights that a key gives.
 * @param tables The replicated tables.
 * @param settings Settings with the digest of the bootstrap operator's key.
 * @param digest Digest of the key that the request presented; `std::nullopt` if it presented none.
 */
BearerRights rightsOf(const Tables &tables, const Settings &settings, const std::optional<KeyDigest> &digest);

} // namespace flamingotally
