#include "net/http_budget.h"

#include "net/clock.h"

#include <algorithm>
#include <utility>

namespace flamingotally
{

HttpBudget::HttpBudget(std::size_t limitBytes) : m_limitBytes(limitBytes)
{
}

std::uint64_t HttpBudget::addMember(BudgetMember member)
{
    m_members.push_back({++m_memberId, std::move(member)});
    return m_memberId;
}

void HttpBudget::removeMember(std::uint64_t id)
{
    std::erase_if(m_members, [id](const Row &it) { return it.id == id; });
}

void HttpBudget::recharge(std::size_t &charge, std::size_t bytes)
{
    const bool hasGrown = bytes > charge;
    m_heldBytes = m_heldBytes - charge + bytes;
    charge = bytes;
    if (hasGrown) {
        makeRoom(0);
    }
}

bool HttpBudget::tryCharge(std::size_t bytes)
{
    if (!makeRoom(bytes)) {
        return false;
    }
    m_heldBytes += bytes;
    return true;
}

void HttpBudget::discharge(std::size_t bytes)
{
    m_heldBytes -= bytes;
}

std::size_t HttpBudget::heldBytes() const
{
    return m_heldBytes;
}

std::size_t HttpBudget::limitBytes() const
{
    return m_limitBytes;
}

std::uint64_t HttpBudget::nextNumber()
{
    return ++m_number;
}

HttpLimitCount &HttpBudget::count(HttpLimit limit)
{
    return counts[static_cast<std::size_t>(limit)];
}

bool HttpBudget::makeRoom(std::size_t extra)
{
    if (extra > m_limitBytes) {
        return false;
    }
    while (m_heldBytes > m_limitBytes - extra) {
        if (!closeOne()) {
            return false;
        }
    }
    return true;
}

bool HttpBudget::closeOne()
{
    OldestByPhase oldest{};
    for (const auto &it : m_members) {
        oldest = olderOf(oldest, it.member.oldest());
    }
    const auto phase = phaseToFreeMemory(oldest, SystemClock().now());
    if (!phase) {
        return false;
    }
    const auto number = oldest[static_cast<std::size_t>(*phase)]->number;
    const auto it = std::ranges::find_if(m_members, [&](const Row &row) {
        const auto start = row.member.oldest()[static_cast<std::size_t>(*phase)];
        return start && start->number == number;
    });
    it->member.closeOldest(*phase);
    return true;
}

} // namespace flamingotally
