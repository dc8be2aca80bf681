/** @file work_base.h The owner's tables of active work: occurrences, groups of tasks, tasks, runs. */
#pragma once

#include "dispatch/job_base.h"

#include <absl/container/flat_hash_map.h>

namespace flamingotally::dispatch
{

struct OccurrenceTag;
using OccurrenceRef = Ref<OccurrenceTag>;

/** Job and number of an occurrence. */
struct OccurrenceIdentity {
    JobRef job;
    std::uint32_t number = 0;
};

/** Progress of an occurrence as the owner has decided it; it may not be stored yet. */
struct OccurrenceWork {
    MonotonicTime dueAt{}; ///< When its first step may begin.
    bool begun = false; ///< At least one of its tasks has been placed.
    bool dirty = false; ///< Its progress has changed and has to be written.
    bool closed = false; ///< It has completed, failed or was cancelled; nothing more of it is started.
    OccurrenceOutcome outcome = OccurrenceOutcome::None;
    std::uint32_t liveRuns = 0; ///< Runs that use capacity of workers.
    std::vector<GroupRef> groups; ///< By step.
    std::vector<Milliseconds> criticalPaths; ///< By step: estimated time of the longest chain that it starts.
};

using OccurrenceTable = Table<OccurrenceTag, OccurrenceIdentity, OccurrenceWork>;

/** Identity of a group: the tasks of one step of one occurrence. */
struct GroupIdentity {
    OccurrenceRef occurrence;
    JobRef job;
    std::uint32_t step = 0;
};

/** Progress of a group. */
struct GroupState {
    bool open = false; ///< The earlier steps are done and the occurrence is due, so its tasks may be placed.
    bool listed = false; ///< It is in Work::waiting.
    std::uint32_t done = 0; ///< Number of tasks that are done.
    std::uint32_t failures = 0; ///< For a gang: number of failed runs.
    RunNumber failedRun = 0; ///< For a gang: last run that was counted as failed.
    MonotonicTime openedAt{};
    std::vector<TaskRef> tasks; ///< By index.
};

/** Decision of the policy service about a worker: a ticket, or a refusal. */
struct Ticket {
    bool granted = false; ///< The worker may run the step.
    std::string text; ///< The ticket; empty when refused.
    MonotonicTime validUntil{};
    std::uint64_t incarnation = 0; ///< Incarnation of the worker that the ticket is for.
};

/** Decisions of the policy service about the workers for a group. */
struct GroupAdvice {
    absl::flat_hash_map<std::string, Ticket> tickets; ///< By the id of the worker.
    std::uint64_t pendingNumber = 0; ///< Number of the request in flight; zero for none.
    std::uint32_t requestCount = 0; ///< Requests sent so far.
    MonotonicTime respondedAt{}; ///< When the last response arrived; zero before.
    std::vector<std::string> expired; ///< Workers with a placed run whose ticket expired before its start was sent.
    std::vector<std::string> renewing; ///< Workers with earlier tickets in the request in flight.
};

using GroupTable = Table<GroupTag, GroupIdentity, GroupState, GroupAdvice>;

/** Group and index of a task. */
struct TaskIdentity {
    GroupRef group;
    std::uint32_t index = 0;
};

/** Progress of a task. */
struct TaskState {
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t failures = 0; ///< Number of failed runs.
    RunNumber lastRun = 0; ///< Number of the last run.
    std::string checkpoint; ///< Last checkpoint; empty for none.
    RunRef run; ///< The current run, while placed.
    WorkerRef avoid; ///< Worker of the last run that failed or stalled.
    MonotonicTime readyAt{}; ///< The task is not placed before this time.
};

using TaskTable = Table<TaskTag, TaskIdentity, TaskState>;

/** Task, worker and number of a run. */
struct RunIdentity {
    TaskRef task;
    WorkerRef worker;
    RunNumber number = 0;
};

/** Progress of a run. */
struct RunState {
    RunPhase phase = RunPhase::Planned;
    std::uint64_t waitsForBatch = 0; ///< Number of the owner's batch that contains its placement.
    bool inFlight = false; ///< An order is in flight.
    bool mayHaveArrived = false; ///< A start order got no response and may have been executed.
    std::uint32_t sends = 0; ///< Start orders sent so far.
    MonotonicTime sendAt{}; ///< The next order is not sent before this time.
    MonotonicTime confirmedAt{}; ///< When its worker confirmed the start or the stop; polls sent later reflect it.
    bool stopAccepted = false; ///< The worker has accepted the stop order.
    Resources reservedOnWorker; ///< Counted in WorkerLoad::used.
    Resources chargedToTeam; ///< Counted in Work::teamUse.
    std::uint32_t percent = 0; ///< Work done, as last reported.
    MonotonicTime progressAt{}; ///< When the reported percentage last changed.
};

using RunTable = Table<RunTag, RunIdentity, RunState>;

/** Hashes the reference to a job. */
struct JobRefHash {
    std::size_t operator()(JobRef ref) const
    {
        return absl::Hash<std::uint64_t>{}((std::uint64_t{ref.generation} << 32U) | ref.index);
    }
};

/** A demand for which no worker has free capacity in the current pass; larger demands need not be tried. */
struct UnplaceableDemand {
    std::string pool;
    std::string label; ///< Required label; empty for any worker.
    Resources demand;
};

/** The workers of a pool that accept tasks in a pass. */
struct PassPool {
    std::string name;
    std::vector<WorkerRef> workers;
};

/** One placement pass over the waiting groups. */
struct PlacementPass {
    std::uint64_t number = 0;
    std::vector<PassPool> pools;
    std::vector<UnplaceableDemand> unplaceable;
    std::uint32_t largeReservations = 0; ///< Workers reserved so far for large tasks until enough capacity is free.
};

/** All active work. Empty on daemons that are not the owner. */
struct Work {
    OccurrenceTable occurrences;
    GroupTable groups;
    TaskTable tasks;
    RunTable runs;
    absl::flat_hash_map<JobRef, std::vector<OccurrenceRef>, JobRefHash> byJob;
    absl::flat_hash_map<TaskName, RunRef> runByTask;
    absl::flat_hash_map<std::string, Resources> teamUse; ///< Resources that the runs of each team use.
    std::vector<GroupRef> waiting; ///< Groups with waiting tasks, unordered between passes.
    std::vector<OccurrenceRef> dirty; ///< Occurrences whose progress has to be written.
    std::vector<std::pair<JobRef, std::uint32_t>> upcoming; ///< Jobs with the number of their next occurrence to open.
    PlacementPass pass; ///< The current or the last placement pass.
    MonotonicTime passAt{}; ///< No placement pass begins before this time.
    MonotonicTime fullPassAt{}; ///< A pass is due at this time even when nothing has changed.
    bool changed = false; ///< Tasks may be placeable that were not in the last pass.
};

} // namespace flamingotally::dispatch
