/** @file queue_type.h What operators configure for dispatched work: queues, pools, teams. */
#pragma once

#include "core/time_type.h"
#include "resources_type.h"
#include "team_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingotally::dispatch
{

/** Terms of the policy service that says which workers may run a step. */
struct AdviceTerms {
    bool required = false; ///< Whether starts need a ticket at all.
    double decideMs = 0; ///< Fixed time of one call, in milliseconds.
    double perWorkerMs = 0; ///< Further time for each worker that a call names, in milliseconds.
    Milliseconds validity{0}; ///< How long a ticket may be used.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(required, decideMs, perWorkerMs, validity);
    }
};

/** How the jobs of a queue are treated. Each accepted job keeps a copy. */
struct JobPolicy {
    std::string pool; ///< Pool of workers that runs the tasks.
    std::uint32_t priority = 0; ///< Lower values go first.
    std::uint32_t maxAttempts = 1; ///< Failed attempts of one task after which the job fails.
    double stretch = 1; ///< Objective as a multiple of the longest chain of work.
    Milliseconds targetLatency{0}; ///< Added to the objective.
    AdviceTerms advice;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(pool, priority, maxAttempts, stretch, targetLatency, advice);
    }
};

/** A queue that callers submit to. */
struct QueueSpec {
    std::string name;
    std::string host; ///< Virtual host of its requests.
    std::string pathPrefix; ///< Requests whose path begins so are its own; the longest prefix counts.
    bool open = false; ///< Takes work without a key.
    JobPolicy policy;
};

/** A team and what it may use. */
struct TeamSpec {
    std::string name;
    std::vector<KeyDigest> keys; ///< SHA-256 of each granted key.
    double share = 1; ///< Weight against other teams when the cell is full.
    Resources limit; ///< Most that it may have running at once; zero of an amount means no limit.
};

/** A pool of workers. */
struct PoolSpec {
    std::string name;
    bool guardsRoom = false; ///< Its workers refuse what does not fit.
};

/** One version of the operators' configuration, in full. */
struct Configuration {
    std::uint64_t version = 0; ///< Rises in uneven steps; zero before the first one.
    std::vector<QueueSpec> queues;
    std::vector<TeamSpec> teams;
    std::vector<PoolSpec> pools;
};

/** Domains that operators have taken out of service. */
struct DomainsOut {
    std::vector<std::string> names;
};

} // namespace flamingotally::dispatch
