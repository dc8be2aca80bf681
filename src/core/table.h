/** @file table.h Tables of entities: one vector for each column, rows addressed by index and generation. */
#pragma once

#include "core/fields.h"

#include <compare>
#include <cstdint>
#include <tuple>
#include <utility>
#include <vector>

namespace flamingotally
{

/**
 * Reference to a row. Erasing a row changes the generation of its index, so a reference to the erased row does not
 * refer to a later row at the same index.
 */
template<typename Tag>
struct Ref {
    static constexpr std::uint32_t invalidIndex = UINT32_MAX;

    std::uint32_t index = invalidIndex; ///< Index of the row in its table.
    std::uint32_t generation = 0; ///< Number of rows that used this index before.

    friend auto operator<=>(const Ref &, const Ref &) = default; // NOLINT(modernize-use-nullptr)

    /** Returns whether this reference was set. The row may have been erased since: see Table::contains(). */
    bool isSet() const
    {
        return index != invalidIndex;
    }

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const Ref &ref)
    {
        return Hash::combine(std::move(state), ref.index, ref.generation);
    }

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(index, generation);
    }
};

/**
 * Table of entities. Each entity is a row, and each of its components is stored in the vector of one column, so that a
 * system that scans one component reads memory sequentially. Two tables that had the same insertions and erasures in
 * the same order return the same references.
 */
template<typename Tag, typename... Columns>
class Table
{
public:
    using RowRef = Ref<Tag>;

    /**
     * Adds a row.
     * @param values The components of the new entity.
     * @return Reference to the new row.
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

    /** Erases a row, if it exists. All references to it become stale. */
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

    /** Returns whether a reference is set and not stale. */
    bool contains(RowRef ref) const
    {
        return ref.index < m_alive.size() && m_alive[ref.index] != 0 && m_generations[ref.index] == ref.generation;
    }

    /** Returns a component of a row. The row must exist. */
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

    /** Returns the number of rows. */
    std::size_t size() const
    {
        return m_size;
    }

    /** Returns the number of indexes, in use or free: one more than the highest index. */
    std::size_t capacity() const
    {
        return m_alive.size();
    }

    /** Returns the reference to the row at an index; unset when the index is free or too high. */
    RowRef at(std::size_t index) const
    {
        return index < m_alive.size() && m_alive[index] != 0
            ? RowRef{static_cast<std::uint32_t>(index), m_generations[index]}
            : RowRef{};
    }

    /**
     * Calls a function for each row in the order of the indexes. The function may erase the row that it is given.
     * @param function Called with the reference to each row.
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
