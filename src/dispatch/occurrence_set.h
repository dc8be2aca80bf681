/** @file occurrence_set.h A set of occurrence numbers that takes one bit each, and none for those that come in order.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace flamingotally::dispatch
{

/** A set of occurrences of one job. Occurrences mostly complete in order, so it stores where the first gap is. */
class OccurrenceSet
{
public:
    /** Inserts an occurrence. Returns false if the set has it already. */
    bool insert(std::uint32_t number)
    {
        if (contains(number)) {
            return false;
        }
        const std::size_t bit = number - m_firstMissing;
        if (m_beyond.size() <= bit) {
            m_beyond.resize(bit + 1);
        }
        m_beyond[bit] = true;
        ++m_size;
        if (number == m_firstMissing) {
            dropLeadingBits();
        }
        return true;
    }

    bool contains(std::uint32_t number) const
    {
        return number < m_firstMissing
            || (number - m_firstMissing < m_beyond.size() && m_beyond[number - m_firstMissing]);
    }

    /** Returns the first occurrence from `number` on that is not in the set. */
    std::uint32_t nextMissing(std::uint32_t number) const
    {
        while (contains(number)) {
            number = number < m_firstMissing ? m_firstMissing : number + 1;
        }
        return number;
    }

    /** Returns the number of occurrences in the set. */
    std::uint32_t size() const
    {
        return m_size;
    }

private:
    /** Moves `m_firstMissing` to the next gap. */
    void dropLeadingBits()
    {
        std::size_t n = 0;
        while (n < m_beyond.size() && m_beyond[n]) {
            ++n;
        }
        m_firstMissing += static_cast<std::uint32_t>(n);
        m_beyond.erase(m_beyond.begin(), m_beyond.begin() + static_cast<std::ptrdiff_t>(n));
        if (m_beyond.empty()) {
            m_beyond.shrink_to_fit();
        }
    }

    std::uint32_t m_firstMissing = 0; ///< All lower numbers are in the set.
    std::uint32_t m_size = 0;
    std::vector<bool> m_beyond; ///< Whether the numbers from `m_firstMissing` on are in the set.
};

} // namespace flamingotally::dispatch
