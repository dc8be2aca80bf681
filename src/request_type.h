/** @file request_type.h Ids that callers assign to their requests. */
#pragma once

#include "core/table.h"
#include "core/time_type.h"

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

namespace flamingotally
{

struct RequestTag;
using RequestRef = Ref<RequestTag>;

/** Id of a request: a UUID of version 7, which contains the time of issue. All bytes are zero when not set. */
struct RequestId {
    std::array<std::uint8_t, 16> bytes{}; ///< The UUID in network byte order.

    friend auto operator<=>(const RequestId &, const RequestId &) = default; // NOLINT(modernize-use-nullptr)

    /** Returns whether the id is set, that is, not all zero. */
    bool isSet() const
    {
        return bytes != std::array<std::uint8_t, 16>{};
    }

    /** Returns the time at which the caller issued the id, by the caller's wall clock in whole milliseconds. */
    WallTime issuedAt() const;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(bytes);
    }

    template<typename H>
    friend H AbslHashValue(H state, const RequestId &id)
    {
        return H::combine(std::move(state), id.bytes);
    }
};

/**
 * Parses a UUID of version 7.
 * @param text 36 characters: hexadecimal digits with hyphens.
 * @return The id, or `std::nullopt` when the text is not a UUID of version 7.
 */
std::optional<RequestId> parseRequestId(std::string_view text);

/** Formats an id in the form that parseRequestId() accepts, in lower case. */
std::string toString(const RequestId &id);

/**
 * Creates an id.
 * @param issuedAt Time of issue, stored in milliseconds.
 * @param high Random bits, of which the lowest 12 are used.
 * @param low Random bits, of which the lowest 62 are used.
 */
RequestId makeRequestId(WallTime issuedAt, std::uint64_t high, std::uint64_t low);

} // namespace flamingotally
