/** @file key_func.h Lookup of keys and of the rights of their bearers. Keys themselves are never stored or logged. */
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
 * Finds a key by its digest, also if withdrawn; unset when no key has it. Compares with every key, in constant time.
 */
KeyRef findKey(const Tables &tables, const KeyDigest &digest);

/** Rights of the bearer of a key, according to the tables of this daemon. */
struct BearerRights {
    Reason reason = Reason::KeyMissing; ///< Reason for which the key gives no rights; `None` when it is granted.
    KeyRef key; ///< Unset for the bootstrap key.
    KeyRole role = KeyRole::Submitter;
    TeamRef team; ///< Team that the key acts for; unset for operators.

    /** Returns whether the key is granted and is an operator's. */
    bool isOperator() const
    {
        return reason == Reason::None && role == KeyRole::Operator;
    }
};

/**
 * Determines the rights that a key gives.
 * @param tables The replicated tables.
 * @param settings Settings with the digest of the bootstrap operator's key.
 * @param digest Digest of the key that the request presented; `std::nullopt` for none.
 */
BearerRights rightsOf(const Tables &tables, const Settings &settings, const std::optional<KeyDigest> &digest);

} // namespace flamingotally
