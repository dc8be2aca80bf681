/** @file view_type.h Results of queries for callers and operators: names and amounts, with all references resolved. */
#pragma once

#include "node_base.h"
#include "reason_type.h"

#include <string>
#include <vector>

namespace flamingotally
{

/** Position and age of the tables that a query read. */
struct ViewAge {
    std::string daemon; ///< Name of the daemon that ran the query.
    std::uint64_t offset = 0; ///< Offset of the next record to apply: all records before it are applied.
    Milliseconds age{0}; ///< Time since the tables were last known to include all records of the log.
    bool fresh = false; ///< Whether the daemon has caught up with the log and the age is within the fence.
};

/** A task of a job. */
struct TaskView {
    std::uint32_t ordinal = 0;
    TaskPhase phase = TaskPhase::Waiting;
    Outcome outcome = Outcome::None;
    std::string worker; ///< Worker of its live attempt; empty when it has none.
    std::string domain; ///< Failure domain of that worker.
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0;
    TaskResult result;
};

/** A job. */
struct JobView {
    RequestId id;
    std::string name;
    std::string profile;
    std::string team;
    WorkKind kind = WorkKind::Batch;
    Resources perTask;
    JobState state;
    std::vector<TaskView> tasks; ///< In the order of the ordinals.
};

/** A team with its share, its limit and its usage. */
struct TeamView {
    std::string name;
    TeamPolicy policy;
    TeamUsage use;
    double shareFraction = 0; ///< Share of the team as a fraction of the sum of all shares, 0 to 1.
    /** Largest fraction that the team uses of any kind of resource of the workers in service, 0 to 1. */
    double usageFraction = 0;
};

/** A key. Its digest is not shown. */
struct KeyView {
    std::string label;
    std::string team; ///< Empty for operators.
    KeyRole role = KeyRole::Submitter;
    bool withdrawn = false;
    LogTime changedAt{};
};

/** A profile with the number of tasks that wait and run under it. */
struct ProfileView {
    ProfileIdentity identity;
    ProfileSpec spec;
    std::string source; ///< Source text of the last publication; empty when the history no longer contains it.
    std::uint64_t waitingTasks = 0;
    std::uint64_t placedTasks = 0;
};

/** A failure domain with its workers and their capacity. */
struct DomainView {
    std::string name;
    DomainState state;
    std::uint32_t workers = 0;
    std::uint32_t liveWorkers = 0; ///< Number of workers that accept tasks, provided that the domain is in service.
    std::uint32_t attempts = 0;
    Resources total;
    Resources used;
};

/** A worker. */
struct WorkerView {
    WorkerIdentity identity;
    std::string domain;
    std::string rack;
    WorkerCapacity capacity;
    WorkerState state;
};

/** A daemon as seen by the daemon that ran the query. */
struct DaemonView {
    DaemonIdentity identity;
    std::string domain;
    bool leaving = false;
    bool self = false; ///< Whether this is the daemon that ran the query.
    /** Whether its present incarnation sent a heartbeat within the peer time-out; true for the daemon itself. */
    bool reachable = false;
    Milliseconds heartbeatAge{0}; ///< Time since its last heartbeat was received.
    std::uint64_t appliedOffset = 0;
    std::uint64_t digestOffset = 0;
    std::uint64_t digest = 0;
    bool readsLog = false;
};

/** Reason why a waiting task cannot be placed, with the number of workers to which the reason applies. */
struct ExplainRow {
    Reason reason = Reason::None; ///< `None` when the task could be placed on these workers now.
    std::uint32_t workers = 0; ///< Number of workers to which the reason applies.
};

/** Explanation of why tasks of a job wait. */
struct ExplainView {
    RequestId id;
    Outcome outcome = Outcome::None;
    std::uint32_t waiting = 0; ///< Number of waiting tasks.
    std::uint32_t placed = 0; ///< Number of tasks with a live attempt.
    std::string team;
    Resources perTask;
    Resources teamRunning;
    Resources teamLimit;
    Milliseconds pause{0}; ///< Remaining backoff before the next retry of the first waiting task.
    std::vector<ExplainRow> rows; ///< In descending order of the number of workers.
};

/** Summary of a daemon's state. */
struct StatusView {
    std::string daemon;
    std::string domain;
    NodePhase phase = NodePhase::CatchingUp;
    std::uint64_t incarnation = 0;
    Milliseconds fence{0};
    bool readsLog = false;
    std::size_t jobs = 0;
    std::size_t tasks = 0;
    std::size_t attempts = 0;
    std::size_t workers = 0;
    std::size_t proposals = 0;
    std::size_t waiters = 0;
};

/** Selects changes of the configuration. */
struct HistoryFilter {
    std::string subject; ///< Name of a team, label of a key, or name of a profile or domain; empty for all.
    std::uint32_t maxChanges = 100; ///< Largest number of changes to return; the newest are returned.
};

} // namespace flamingotally
