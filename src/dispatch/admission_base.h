/** @file admission_base.h What a daemon knows for the admission of jobs: the load of pools, and its unread records. */
#pragma once

#include "dispatch/journal_type.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace flamingotally::dispatch
{

/** Why a call was answered as not run. */
enum class RefusalReason : std::uint8_t {
    StaleView, ///< The view of the configuration or the journal is too old to decide by.
    Store, ///< The store did not accept the record in time.
    Load, ///< The job could not end in time because of the work that goes first.
    Memory, ///< The accepted jobs take all memory that daemons have for them.
    End,
};

/** Work of jobs of one pool, priority and team that were accepted since the estimate. */
struct AcceptedWork {
    std::string pool;
    std::uint32_t priority = 0;
    std::string team;
    std::int64_t work = 0; ///< In core-milliseconds.
};

/** This daemon's view of the load of the pools. */
struct LoadView {
    PoolLoadRecord estimate; ///< The newest one of the present owner.
    MonotonicTime readAt{}; ///< When the estimate was read; zero while there is none.
    std::vector<AcceptedWork> accepted; ///< By jobs that were read after the estimate.
};

/** State of the admission of jobs. */
struct Admission {
    LoadView load;
    /** Number of records of a job that this daemon has queued and has neither withdrawn nor read back. */
    absl::flat_hash_map<JobId, std::uint32_t> unread;
};

} // namespace flamingotally::dispatch
