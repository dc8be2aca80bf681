/** @file tables.h All that daemons agree on: the tables that the log's records make. */
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

/** How far the log has been applied. */
struct LogPosition {
    std::uint64_t nextOffset = 0; ///< Offset of the next record to apply.
    LogTime time{}; ///< Time of the last applied record; never goes back.
    std::uint32_t recordVersion = 1; ///< Version of the apply behaviour that is switched on.
    AttemptNumber nextAttempt = 1;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(nextOffset, time, recordVersion, nextAttempt);
    }
};

/** Ways to find rows by name. Derived from the tables, so neither digested nor kept in snapshots. */
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
    std::vector<std::vector<AttemptRef>> attemptsOfWorker; ///< By index of the worker, in no order: commands must
                                                           ///< not depend on it.
};

/**
 * The replicated state. Only commands change it, in the order of the log, so it is equal on all daemons that have
 * applied the same offset.
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
    Lookups lookups; ///< Derived.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(position, domains, racks, workers, teams, keys, profiles, jobs, tasks, attempts, requests, daemons);
        visitor(history);
    }
};

/** Makes the lookups anew from the tables, after a snapshot was loaded. */
void rebuildLookups(Tables &tables);

/** Enters a new attempt into the lookups. */
void indexAttempt(Tables &tables, AttemptRef attempt);

/** Takes an attempt that is about to end out of the lookups. */
void unindexAttempt(Tables &tables, AttemptRef attempt);

/** Live attempts of a worker, in no order. */
const std::vector<AttemptRef> &attemptsOf(const Tables &tables, WorkerRef worker);

/**
 * Finds a row by name.
 * @return Its address, unset when there is none.
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
