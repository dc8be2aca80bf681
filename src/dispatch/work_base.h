/** @file work_base.h The owner's tables of work in hand: occurrences, groups of tasks, tasks, runs. */
#pragma once

#include "dispatch/job_base.h"

#include <absl/container/flat_hash_map.h>

namespace flamingotally::dispatch
{

struct OccurrenceTag;
using OccurrenceRef = Ref<OccurrenceTag>;

/** Which occurrence of which job. */
struct OccurrenceIdentity {
    JobRef job;
    std::uint32_t number = 0;
};

/** How far an occurrence is in the owner's eyes, stored or not. */
struct OccurrenceWork {
    MonotonicTime dueAt{}; ///< When its first step may begin.
    bool begun = false;
    bool dirty = false; ///< Its progress is to be written.
    bool closed = false; ///< Nothing more of it is started: it has ended, failed or was cancelled.
    OccurrenceOutcome outcome = OccurrenceOutcome::None;
    std::uint32_t live = 0; ///< Runs that hold room.
    std::vector<GroupRef> groups; ///< By step.
    std::vector<Milliseconds> chains; ///< By step: estimated time of the longest chain of steps that begins with it.
};

using OccurrenceTable = Table<OccurrenceTag, OccurrenceIdentity, OccurrenceWork>;

/** Tasks of one step of one occurrence. */
struct GroupIdentity {
    OccurrenceRef occurrence;
    JobRef job;
    std::uint32_t step = 0;
};

/** How far a group is. */
struct GroupState {
    bool open = false; ///< The steps before it are done and it is due.
    bool listed = false; ///< It is on the list of groups that wait.
    std::uint32_t done = 0;
    std::uint32_t failures = 0; ///< Of a gang: runs that failed.
    RunNumber failedRun = 0; ///< Of a gang: last run that was counted as failed.
    MonotonicTime openedAt{};
    std::vector<TaskRef> tasks; ///< By index.
};

/** A ticket for a worker, or the knowledge that there is none. */
struct Ticket {
    bool granted = false;
    std::string text;
    MonotonicTime validUntil{};
    std::uint64_t incarnation = 0; ///< Life of the worker that it is for.
};

/** What is known of who may run a group. */
struct GroupAdvice {
    absl::flat_hash_map<std::string, Ticket> byWorker; ///< By the worker's id.
    std::uint64_t question = 0; ///< Question under way; zero for none.
    std::uint32_t questions = 0; ///< Questions asked so far.
    MonotonicTime answeredAt{}; ///< When the last answer came; zero before.
    std::vector<std::string> expired; ///< Workers with a placed run whose ticket has expired before its start was sent.
    std::vector<std::string> renewing; ///< Workers known to be good that the question under way is about.
};

using GroupTable = Table<GroupTag, GroupIdentity, GroupState, GroupAdvice>;

/** Which task of which group. */
struct TaskIdentity {
    GroupRef group;
    std::uint32_t index = 0;
};

/** How far a task is. */
struct TaskState {
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t failures = 0;
    RunNumber lastRun = 0;
    std::string checkpoint;
    RunRef run; ///< The live run, when placed.
    WorkerRef avoid; ///< Worker of the last run that failed.
    MonotonicTime readyAt{}; ///< No start before this.
};

using TaskTable = Table<TaskTag, TaskIdentity, TaskState>;

/** What runs where. */
struct RunIdentity {
    TaskRef task;
    WorkerRef worker;
    RunNumber number = 0;
};

/** How far a run is. */
struct RunState {
    RunPhase phase = RunPhase::Planned;
    std::uint64_t waitsForBatch = 0; ///< Its placement is in this batch of the owner's writer.
    bool inFlight = false; ///< An order is under way.
    bool mayHaveArrived = false; ///< A start went without an answer.
    std::uint32_t sends = 0; ///< Start orders sent without an answer that settles it.
    MonotonicTime sendAt{}; ///< Next order.
    MonotonicTime settledAt{}; ///< Answer to the start or the stop: lists asked for later show it.
    bool stopTaken = false; ///< The worker has taken the stop.
    Resources held; ///< Of its worker.
    Resources charged; ///< Of its team.
    std::uint32_t percent = 0; ///< Last listed.
    MonotonicTime movedAt{}; ///< When the percentage last changed.
};

using RunTable = Table<RunTag, RunIdentity, RunState>;

/** Hashes the address of a job. */
struct JobRefHash {
    std::size_t operator()(JobRef ref) const
    {
        return absl::Hash<std::uint64_t>{}((std::uint64_t{ref.generation} << 32U) | ref.index);
    }
};

/** A need for which no worker has room in a pass, whoever asks. */
struct CrowdedNeed {
    std::string pool;
    std::string label; ///< Label that a worker must have; empty for none.
    Resources need;
};

/** Workers of a pool that take tasks in a pass. */
struct PassPool {
    std::string name;
    std::vector<WorkerRef> workers;
};

/** One pass over the groups that wait. */
struct PlacementPass {
    std::uint64_t number = 0;
    std::vector<PassPool> pools;
    std::vector<CrowdedNeed> crowded;
    std::uint32_t largeReservations = 0; ///< Workers kept free so far so that room gathers there for a large task.
};

/** All work in hand. Empty on daemons that are not the owner. */
struct Work {
    OccurrenceTable occurrences;
    GroupTable groups;
    TaskTable tasks;
    RunTable runs;
    absl::flat_hash_map<JobRef, std::vector<OccurrenceRef>, JobRefHash> byJob;
    absl::flat_hash_map<TaskName, RunRef> runByTask;
    absl::flat_hash_map<std::string, Resources> teamUse; ///< What runs of each team hold.
    std::vector<GroupRef> waiting; ///< Groups with tasks that wait, in no order.
    std::vector<OccurrenceRef> dirty; ///< Occurrences whose progress is to be written.
    std::vector<std::pair<JobRef, std::uint32_t>> upcoming; ///< Jobs with their next occurrence that is not open.
    PlacementPass pass; ///< The one under way or the last one.
    MonotonicTime passAt{}; ///< No pass over what waits before this.
    MonotonicTime fullPassAt{}; ///< A pass is due then although nothing has changed.
    bool changed = false; ///< Something may be placed that could not be before.
};

} // namespace flamingotally::dispatch
