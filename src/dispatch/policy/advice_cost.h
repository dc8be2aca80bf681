/** @file advice_cost.h What requests to the policy service cost, and whether their tickets are worth that. */
#pragma once

#include "dispatch/queue_type.h"

#include <cstddef>

namespace flamingotally::dispatch
{

constexpr std::size_t workersPerRequest = 40; ///< Up to this size a request is filled with workers without a decision.

/** Returns the estimated time that the service takes for a request that names workers, in milliseconds. */
inline double requestCostMs(const AdviceTerms &terms, std::size_t workers)
{
    return terms.decideMs + terms.perWorkerMs * static_cast<double>(workers);
}

/**
 * Returns true if a full request takes at least half of the validity of its tickets, which counts from the request on:
 * they can be used for no longer than they cost, so requests name only what can be used.
 */
inline bool isAdviceSlow(const AdviceTerms &terms)
{
    return terms.required && requestCostMs(terms, workersPerRequest) * 2 >= static_cast<double>(terms.validity.count());
}

} // namespace flamingotally::dispatch
