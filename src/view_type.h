/** @file view_type.h What callers and operators are shown: names and amounts, with all links resolved. */
#pragma once

#include "node_base.h"
#include "reason_type.h"

#include <string>
#include <vector>

namespace flamingotally
{

/** How far and how old what is shown is. */
struct ViewAge {
    std::string daemon; ///< Name of the daemon that shows it.
    std::uint64_t offset = 0; ///< Records before this offset are applied.
    Milliseconds age{0}; ///< How long ago that was known to be all.
    bool fresh = false; ///< Whether the age is within the fence.
};

/** A task of a job. */
struct TaskView {
    std::uint32_t ordinal = 0;
    TaskPhase phase = TaskPhase::Waiting;
    Outcome outcome = Outcome::None;
    std::string worker; ///< Where its live attempt is; empty for none.
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
    std::vector<TaskView> tasks; ///< By ordinal.
};

/** A team against its share and its limit. */
struct TeamView {
    std::string name;
    TeamPolicy policy;
    TeamUsage use;
    double shareFraction = 0; ///< Its share of all shares, 0 to 1.
    double usageFraction = 0; ///< The largest part that it has of any resource in service, 0 to 1.
};

/** A key. Its digest is not shown. */
struct KeyView {
    std::string label;
    std::string team; ///< Empty for operators.
    KeyRole role = KeyRole::Submitter;
    bool withdrawn = false;
    LogTime changedAt{};
};

/** A profile with what waits and runs by it. */
struct ProfileView {
    ProfileIdentity identity;
    ProfileSpec spec;
    std::string source; ///< Text of its last publication; empty when the history no longer has it.
    std::uint64_t waitingTasks = 0;
    std::uint64_t placedTasks = 0;
};

/** A failure domain with what stands in it. */
struct DomainView {
    std::string name;
    DomainState state;
    std::uint32_t workers = 0;
    std::uint32_t liveWorkers = 0; ///< Those that take tasks, if the domain is in service.
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

/** A daemon, as this one knows it. */
struct DaemonView {
    DaemonIdentity identity;
    std::string domain;
    bool leaving = false;
    bool self = false;
    bool reachable = false; ///< Whether it was heard within the peer timeout; true for this one.
    Milliseconds heartbeatAge{0};
    std::uint64_t appliedOffset = 0;
    std::uint64_t digestOffset = 0;
    std::uint64_t digest = 0;
    bool readsLog = false;
};

/** What keeps waiting work from starting on some workers. */
struct ExplainRow {
    Reason reason = Reason::None; ///< `None`: the work could start there now.
    std::uint32_t workers = 0; ///< Number of workers to which it applies.
};

/** Why a job waits. */
struct ExplainView {
    RequestId id;
    Outcome outcome = Outcome::None;
    std::uint32_t waiting = 0;
    std::uint32_t placed = 0;
    std::string team;
    Resources perTask;
    Resources teamRunning;
    Resources teamLimit;
    Milliseconds pause{0}; ///< Left of the pause before the next retry.
    std::vector<ExplainRow> rows; ///< Greatest number of workers first.
};

/** This daemon at a glance. */
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

/** Which changes of the configuration are wanted. */
struct HistoryFilter {
    std::string subject; ///< Name of a team, key, profile or domain; empty for all.
    std::uint32_t maxChanges = 100; ///< Newest changes that are shown.
};

} // namespace flamingotally
