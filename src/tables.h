/** @file tables.h The replicated state of the cell: the tables that result from applying the records of the log. */
#pragma once

#include "daemon_base.h"
#include "domain_base.h"
#include "history_base.h"
#include "job_base.h"
#include "profile_base.h"
#include "team_base.h"
#include "worker_base.h"

#include <absl/container/flat_hash_map.h>

namespace flamingotally
{

/** Position in the log up to which the tables have been built. */
struct LogPosition {
    std::uint64_t nextOffset = 0; ///< Offset of the next record to apply.
    LogTime time{}; ///< Latest time at which the log stored any of the applied records.
    std::uint32_t recordVersion = 1; ///< Newest record version that is switched on; it decides how records are applied.
    AttemptNumber nextAttempt = 1; ///< Number of the next attempt.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(nextOffset, time, recordVersion, nextAttempt);
    }
};

/** Maps from names and ids to rows. Derived from the tables, so not part of digests and snapshots. */
struct Lookups {
    absl::flat_hash_map<std::string, DomainRef> domains;
    absl::flat_hash_map<std::string, RackRef> racks;
    absl::flat_hash_map<std::string, WorkerRef> workers;
    absl::flat_hash_map<std::string, TeamRef> teams;
    absl::flat_hash_map<std::string, KeyRef> keys; ///< By label.
    absl::flat_hash_map<std::string, ProfileRef> profiles;
    absl::flat_hash_map<std::string, DaemonRef> daemons;
    absl::flat_hash_map<RequestId, RequestRef> requests;
    absl::flat_hash_map<AttemptNumber, AttemptRef> attempts;
    std::vector<std::vector<AttemptRef>> attemptsOfWorker; ///< By index of the worker. Each list is in no
                                                           ///< defined order: commands must not depend on it.
};

/**
 * The replicated state. Only commands change it, in the order of the log, so it is equal on all daemons that have
 * applied the log up to the same offset.
 */
struct Tables {
    LogPosition position;
    DomainTable domains;
    RackTable racks;
    WorkerTable workers;
    TeamTable teams;
    KeyTable keys;
    ProfileTable profiles;
    JobTable jobs;
    TaskTable tasks;
    AttemptTable attempts;
    RequestTable requests;
    DaemonTable daemons;
    HistoryTable history;
    Lookups lookups; ///< Derived from the tables.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(position, domains, racks, workers, teams, keys, profiles, jobs, tasks, attempts, requests, daemons);
        visitor(history);
    }
};

/** Rebuilds the lookups from the tables, after a snapshot was loaded. */
void rebuildLookups(Tables &tables);

/** Adds a new attempt to the lookups. */
void indexAttempt(Tables &tables, AttemptRef attempt);

/** Removes an attempt from the lookups. The row of the attempt must still exist. */
void unindexAttempt(Tables &tables, AttemptRef attempt);

/** Returns the live attempts of a worker, in no defined order. */
const std::vector<AttemptRef> &attemptsOf(const Tables &tables, WorkerRef worker);

/**
 * Finds a row by its name or id.
 * @return Reference to the row; unset when the map does not contain the key.
 */
template<typename Map, typename Key>
auto findRef(const Map &map, const Key &key) -> typename Map::mapped_type
{
    if (const auto it = map.find(key); it != map.end()) {
        return it->second;
    }
    return {};
}

} // namespace flamingotally
