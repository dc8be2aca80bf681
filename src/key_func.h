/** @file key_func.h Keys: their digests, and what a bearer may do. Keys themselves are never stored or logged. */
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

/** Finds the key of a digest, withdrawn or not; unset when there is none. Compares with every key. */
KeyRef findKey(const Tables &tables, const KeyDigest &digest);

/** What the bearer of a key may do, by the tables at hand. */
struct BearerRights {
    Reason reason = Reason::KeyMissing; ///< Why the key allows nothing; `None` when it is granted.
    KeyRef key; ///< Unset for the bootstrap key.
    KeyRole role = KeyRole::Submitter;
    TeamRef team; ///< The team it speaks for; unset for operators.

    bool isOperator() const
    {
        return reason == Reason::None && role == KeyRole::Operator;
    }
};

/**
 * Looks up what a key allows.
 * @param tables The replicated tables.
 * @param settings Hold the digest of the bootstrap operator's key.
 * @param digest Digest of the key that came with the request, when one did.
 */
BearerRights rightsOf(const Tables &tables, const Settings &settings, const std::optional<KeyDigest> &digest);

} // namespace flamingotally
