/** @file table.h Tables of entities: columns side by side, rows addressed by a small index and its generation. */
#pragma once

#include "core/fields.h"

#include <compare>
#include <cstdint>
#include <tuple>
#include <vector>

namespace flamingotally
{

/** Address of a row. A row that was erased and used again has another generation, so a stale address finds nothing. */
template<typename Tag>
struct Ref {
    static constexpr std::uint32_t invalidIndex = UINT32_MAX;

    std::uint32_t index = invalidIndex; ///< Place of the row in its table.
    std::uint32_t generation = 0; ///< How often that place was used before.

    friend auto operator<=>(const Ref &, const Ref &) = default; // NOLINT(modernize-use-nullptr)

    /** Tells whether this address was ever set. The row itself may be gone: ask the table. */
    bool isSet() const
    {
        return index != invalidIndex;
    }

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(index, generation);
    }
};

/**
 * Table of entities. Each entity is a row, each component a column of its own vector, so that a system that scans
 * one component reads memory in order. Two tables that saw the same inserts and erases give the same addresses.
 */
template<typename Tag, typename... Columns>
class Table
{
public:
    using RowRef = Ref<Tag>;

    /**
     * Adds a row.
     * @param values The components of the new entity.
     * @return Its address.
     */
    RowRef insert(Columns... values)
    {
        ++m_size;
        if (m_freeIndexes.empty()) {
            const auto index = static_cast<std::uint32_t>(m_generations.size());
            m_generations.push_back(0);
            m_alive.push_back(1);
            (std::get<std::vector<Columns>>(m_columns).push_back(std::move(values)), ...);
            return {index, 0};
        }
        const auto index = m_freeIndexes.back();
        m_freeIndexes.pop_back();
        m_alive[index] = 1;
        ((std::get<std::vector<Columns>>(m_columns)[index] = std::move(values)), ...);
        return {index, m_generations[index]};
    }

    /** Removes a row. Its address and all copies of it are stale from then on. */
    void erase(RowRef ref)
    {
        if (!contains(ref)) {
            return;
        }
        --m_size;
        m_alive[ref.index] = 0;
        ++m_generations[ref.index];
        ((std::get<std::vector<Columns>>(m_columns)[ref.index] = Columns{}), ...);
        m_freeIndexes.push_back(ref.index);
    }

    bool contains(RowRef ref) const
    {
        return ref.index < m_alive.size() && m_alive[ref.index] != 0 && m_generations[ref.index] == ref.generation;
    }

    /** Component of a row that the caller knows to be there. */
    template<typename Column>
    Column &get(RowRef ref)
    {
        return std::get<std::vector<Column>>(m_columns)[ref.index];
    }

    template<typename Column>
    const Column &get(RowRef ref) const
    {
        return std::get<std::vector<Column>>(m_columns)[ref.index];
    }

    /** Number of rows. */
    std::size_t size() const
    {
        return m_size;
    }

    /** Number of places, used or free: one more than the highest index. */
    std::size_t capacity() const
    {
        return m_alive.size();
    }

    /** Address of the row at a place, unset when the place is free. */
    RowRef at(std::size_t index) const
    {
        return index < m_alive.size() && m_alive[index] != 0
            ? RowRef{static_cast<std::uint32_t>(index), m_generations[index]}
            : RowRef{};
    }

    /**
     * Runs a function over all rows in the order of their places. The function may erase the row it is given.
     * @param function Called with the address of each row.
     */
    template<typename Function>
    void forEach(Function &&function) const
    {
        for (std::size_t n = 0; n < m_alive.size(); ++n) {
            if (m_alive[n] != 0) {
                function(RowRef{static_cast<std::uint32_t>(n), m_generations[n]});
            }
        }
    }

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(m_size, m_generations, m_alive, m_freeIndexes);
        std::apply([&visitor](auto &...columns) { visitor(columns...); }, m_columns);
    }

private:
    std::uint64_t m_size = 0;
    std::vector<std::uint32_t> m_generations;
    std::vector<std::uint8_t> m_alive;
    std::vector<std::uint32_t> m_freeIndexes;
    std::tuple<std::vector<Columns>...> m_columns;
};

} // namespace flamingotally
