/** @file ticket_func.h Changes the decisions of the policy service about the workers for a group. */
#pragma once

#include "dispatch/work_base.h"

#include <utility>

namespace flamingotally::dispatch
{

/** Forgets the decision about a worker, so that the service is asked about it again. */
inline void forgetTicket(GroupAdvice &advice, WorkerRef worker)
{
    if (advice.tickets.erase(worker) > 0) {
        std::erase(advice.granted, worker);
    }
}

/** Stores the decision about a worker in place of an earlier one. */
inline void storeTicket(GroupAdvice &advice, WorkerRef worker, Ticket ticket)
{
    const auto [it, isNew] = advice.tickets.try_emplace(worker);
    const bool wasGranted = !isNew && it->second.granted;
    if (ticket.granted && !wasGranted) {
        advice.granted.push_back(worker);
    } else if (!ticket.granted && wasGranted) {
        std::erase(advice.granted, worker);
    }
    it->second = std::move(ticket);
}

} // namespace flamingotally::dispatch
