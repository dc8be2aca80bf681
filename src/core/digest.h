/**
 * @file digest.h XXH3 digest of any value whose type lists its fields. Equal values have equal digests on every host.
 */
#pragma once

#include "core/fields.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace flamingotally
{

/** Visitor that adds the fields passed to it to a 64-bit XXH3 digest, in the order in which they are passed. */
class DigestVisitor
{
public:
    DigestVisitor()
    {
        XXH3_64bits_reset(&m_state);
    }

    template<typename... Fields>
    void operator()(Fields &...values)
    {
        (add(values), ...);
    }

    /** Returns the digest of all fields passed to the visitor. */
    std::uint64_t digest() const
    {
        return XXH3_64bits_digest(&m_state);
    }

private:
    template<typename T>
    void addBytes(const T &value)
    {
        XXH3_64bits_update(&m_state, &value, sizeof(value));
    }

    template<typename T>
    requires(std::is_arithmetic_v<T> || std::is_enum_v<T>) void add(const T &value)
    {
        addBytes(value);
    }

    template<HasFields T>
    void add(T &value)
    {
        value.fields(*this);
    }

    template<typename Rep, typename Period>
    void add(const std::chrono::duration<Rep, Period> &value)
    {
        addBytes(value.count());
    }

    template<typename Clock, typename Duration>
    void add(const std::chrono::time_point<Clock, Duration> &value)
    {
        addBytes(value.time_since_epoch().count());
    }

    void add(const std::string &value)
    {
        addBytes(value.size());
        XXH3_64bits_update(&m_state, value.data(), value.size());
    }

    template<typename T>
    void add(std::vector<T> &values)
    {
        addBytes(values.size());
        if constexpr (std::is_arithmetic_v<T>) {
            XXH3_64bits_update(&m_state, values.data(), values.size() * sizeof(T));
        } else {
            for (auto &it : values) {
                add(it);
            }
        }
    }

    template<typename T, std::size_t N>
    void add(std::array<T, N> &values)
    {
        for (auto &it : values) {
            add(it);
        }
    }

    template<typename T>
    void add(std::optional<T> &value)
    {
        addBytes(value.has_value());
        if (value) {
            add(*value);
        }
    }

    XXH3_state_t m_state;
};

/**
 * Computes the digest of a value.
 * @param value Value whose type lists its fields. It is not modified.
 * @return The 64-bit XXH3 digest of all its fields, in their fixed order.
 */
template<HasFields T>
std::uint64_t digestOf(const T &value)
{
    DigestVisitor visitor;
    const_cast<T &>(value).fields(visitor); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    return visitor.digest();
}

/** Computes the 64-bit XXH3 digest of a byte string. */
inline std::uint64_t digestOfBytes(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace flamingotally
