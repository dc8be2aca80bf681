/**
 * @file http_budget.h What all HTTP servers of a process hold for their callers, in bytes: incomplete requests,
 * requests without a response, and responses that are not sent yet.
 */
#pragma once

#include "http_limit_type.h"
#include "net/http_eviction.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace flamingotally
{

/**
 * Bytes that a process may hold if the memory of its host is unknown: 4,096 connections, each with a header of 16 KB, a
 * body of 256 KB and a receive buffer of 24 KB. Callers inside the limits of HttpServerSettings do not reach it.
 */
constexpr std::size_t defaultBudgetBytes = std::size_t{4'096} * (16 + 256 + 24) * 1024;

/** A server that shares a budget. */
struct BudgetMember {
    std::function<OldestByPhase()> oldest; ///< Returns the oldest connection of the server in each phase.
    /** Closes the oldest connection in a phase because of the limit of memory. */
    std::function<void(ConnectionPhase)> closeOldest;
};

/** Bytes held, shared by the servers of a process. All of its code runs on the thread of their io_context. */
class HttpBudget
{
public:
    explicit HttpBudget(std::size_t limitBytes = defaultBudgetBytes);

    /** Adds a server. @return Id for removeMember(). */
    std::uint64_t addMember(BudgetMember member);
    void removeMember(std::uint64_t id);

    /**
     * Replaces the charge of a holder. Closes connections, possibly that of the holder itself, until the limit holds or
     * none may be closed.
     * @param charge Current charge; becomes `bytes`.
     */
    void recharge(std::size_t &charge, std::size_t bytes);

    /** Charges bytes unless the limit does not allow it, even after closing connections. */
    bool tryCharge(std::size_t bytes);

    /** Takes back a charge. */
    void discharge(std::size_t bytes);

    std::size_t heldBytes() const;
    std::size_t limitBytes() const;

    /** Returns the number for the next change of a connection's phase. */
    std::uint64_t nextNumber();

    HttpLimitCounts counts{}; ///< What the servers have done because of their limits.

    /** Returns the count of one limit. */
    HttpLimitCount &count(HttpLimit limit);

private:
    struct Row {
        std::uint64_t id = 0;
        BudgetMember member;
    };

    /** Closes connections until `extra` more bytes fit; returns whether they do. */
    bool makeRoom(std::size_t extra);
    /** Closes one connection; returns false if none may be closed. */
    bool closeOne();

    std::size_t m_limitBytes;
    std::size_t m_heldBytes = 0;
    std::uint64_t m_number = 0;
    std::uint64_t m_memberId = 0;
    std::vector<Row> m_members;
};

} // namespace flamingotally
