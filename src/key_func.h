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
 * Finds a key by its digest, even if the key is withdrawn. Compares the digest with that of every key, each in constant
 * time.
 * @return Reference to the key; unset when no key has the digest.
 */
KeyRef findKey(const Tables &tables, const KeyDigest &digest);

/** Rights of the bearer of a key, according to the tables of this daemon. */
struct BearerRights {
    Reason reason = Reason::KeyMissing; ///< Reason why the key gives no rights; `None` when it gives rights.
    KeyRef key; ///< Unset for the bootstrap key, and when no key was found.
    KeyRole role = KeyRole::Submitter;
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
 * @param digest Digest of the key that the request presented; `std::nullopt` for none.
 */
BearerRights rightsOf(const Tables &tables, const Settings &settings, const std::optional<KeyDigest> &digest);

} // namespace flamingotally
