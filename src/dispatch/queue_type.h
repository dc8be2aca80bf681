/** @file queue_type.h The operators' configuration for dispatched work: queues, pools, teams. */
#pragma once

#include "core/time_type.h"
#include "resources_type.h"
#include "team_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingotally::dispatch
{

/** Parameters of the policy service, which issues the tickets that allow workers to run a step. */
struct AdviceTerms {
    bool required = false; ///< A run is started only with a ticket.
    double decideMs = 0; ///< Time that the service takes for one request, in milliseconds.
    double perWorkerMs = 0; ///< Additional time for each worker in the request, in milliseconds.
    Milliseconds validity{0}; ///< How long a ticket is valid.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(required, decideMs, perWorkerMs, validity);
    }
};

/** Scheduling policy of a queue. Each accepted job stores a copy of it. */
struct JobPolicy {
    std::string pool; ///< Name of the pool of workers that runs the tasks.
    std::uint32_t priority = 0; ///< Jobs with lower values are placed first.
    std::uint32_t maxAttempts = 1; ///< Failed runs of one task after which the job fails.
    double stretch = 1; ///< Objective for the completion time, as a multiple of the job's critical path.
    Milliseconds targetLatency{0}; ///< Constant that is added to the objective.
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
    std::string host; ///< Virtual host of the requests to the queue.
    std::string pathPrefix; ///< Path prefix of the requests to the queue; the longest matching prefix on a host wins.
    bool open = false; ///< The queue accepts requests without a key.
    JobPolicy policy;
};

/** A team with its keys, share and limit. */
struct TeamSpec {
    std::string name;
    std::vector<KeyDigest> keys; ///< SHA-256 digests of the team's keys.
    double share = 1; ///< Weight relative to other teams when the cell is full.
    Resources limit; ///< Maximum that the team's runs may use at the same time; an amount of zero means no limit.
};

/** A pool of workers. */
struct PoolSpec {
    std::string name;
    bool enforcesCapacity = false; ///< The workers of the pool reject runs that exceed their capacity.
};

/** One complete version of the operators' configuration. */
struct Configuration {
    std::uint64_t version = 0; ///< Increases by varying steps; zero before the first version.
    std::vector<QueueSpec> queues;
    std::vector<TeamSpec> teams;
    std::vector<PoolSpec> pools;
};

/** Failure domains that operators have taken out of service. */
struct DomainsOut {
    std::vector<std::string> names;
};

} // namespace flamingotally::dispatch
