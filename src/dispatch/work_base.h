/** @file work_base.h The owner's tables of active work: occurrences, groups of tasks, tasks, runs. */
#pragma once

#include "core/enum_table.h"
#include "dispatch/fault_type.h"
#include "dispatch/job_base.h"
#include "dispatch/opening_type.h"
#include "dispatch/pool_load_base.h"
#include "dispatch/stage_type.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <deque>

namespace flamingotally::dispatch
{

/** Expected completion of an occurrence relative to its objective. Groups with lower values are placed first. */
enum class Timeliness : std::uint8_t {
    InTime,
    Late, ///< The occurrence will miss its objective, but end within three times the objective.
    TooLate, ///< The occurrence will end too late to be useful; it still runs when capacity is free.
    End,
};

struct OccurrenceTag;
using OccurrenceRef = Ref<OccurrenceTag>;

/** Job and number of an occurrence. */
struct OccurrenceIdentity {
    JobRef job;
    std::uint32_t number = 0; ///< From 0, in the order of due times.
};

/** Progress of an occurrence as the owner has decided it. The journal may not contain it yet. */
struct OccurrenceWork {
    MonotonicTime dueAt{}; ///< The first steps may begin at this time.
    /** A task has been placed, or, after all placements were given up once, a run has certainly started. */
    bool begun = false;
    bool hasStarted = false; ///< A run has certainly started.
    bool wasGivenUp = false; ///< All placements were given up before a run had started.
    bool dirty = false; ///< The progress has changed and must be written to the journal.
    bool deferred = false; ///< The progress has changed in a way that may be written a little later.
    bool closed = false; ///< The occurrence completed, or its job failed or was cancelled: no more tasks are started.
    OccurrenceOutcome outcome = OccurrenceOutcome::None;
    std::uint32_t liveRuns = 0; ///< Number of runs in the table, all of which use capacity of workers.
    std::vector<GroupRef> groups; ///< By step.
    /** By step: estimated time of the longest chain of steps that begins with it. */
    std::vector<Milliseconds> criticalPaths;
    Milliseconds objective{0}; ///< Time after `dueAt` within which the occurrence should be done.
    MonotonicTime openedAt{}; ///< When this owner added the occurrence to its tables.
    bool overdueLogged = false; ///< It was logged that the occurrence is too late to be useful.
    OpeningBudget budget = OpeningBudget::First; ///< Budget that its rows count against.
    std::size_t rowBytes = 0; ///< Size of its rows.
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
    bool open = false; ///< The earlier steps are done and the occurrence is due: tasks of the group may be placed.
    bool listed = false; ///< The group is in Work::waitingGroups.
    std::uint32_t done = 0; ///< Number of tasks that are done.
    /**
     * For a gang, number of attempts of which at least one run failed; for an endless step, number of short runs since
     * the last long one.
     */
    std::uint32_t failures = 0;
    RunNumber failedRun = 0; ///< For a gang: number of the last run that was counted in TaskState::failures.
    /** For a gang: number of the last run that was counted in the `crashWeight` of its members. */
    RunNumber crashedRun = 0;
    std::uint64_t visitedInPass = 0; ///< Number of the last pass that tried to place it; zero before.
    MonotonicTime openedAt{}; ///< When the group was opened; zero before.
    MonotonicTime doneAt{}; ///< When the last task was done; zero before.
    StageTimes stages{}; ///< Of the task that was done last, from the opening of the group on.
    std::vector<TaskRef> tasks; ///< By index.
};

/** Decision of the policy service about a worker: a ticket, or a refusal. */
struct Ticket {
    bool granted = false; ///< The worker may run the step.
    std::string text; ///< Text to send with start orders; empty when refused.
    MonotonicTime validUntil{}; ///< The ticket expires at this time.
    std::uint64_t incarnation = 0; ///< The ticket is valid only for this incarnation of the worker.
};

/** Where the tasks of a waiting gang can run once all of it is free; made by policy/gang_capacity.h. */
struct GangPlan {
    /** Worker of each task, on workers that the policy service allows; fewer if the gang has no place for all. */
    std::vector<WorkerRef> places;
    MonotonicTime readyAt{}; ///< When the last place is expected to be free; zero if that is not known.
    bool isReserved = false; ///< The places are to be reserved in each pass.
    bool renewsPlaces = false; ///< All places are free: a request for tickets renews those of their workers.
    bool asksUndecided = false; ///< A request names workers that the service has not decided on.
    MonotonicTime searchAt{}; ///< The plan is made anew from this time on.
    MonotonicTime reservedSince{}; ///< When places were first reserved while the gang waits; zero before.
};

/** Decisions of the policy service about the workers for a group. */
struct GroupAdvice {
    absl::flat_hash_map<WorkerRef, Ticket> tickets; ///< Of the workers that the service has decided on.
    std::vector<WorkerRef> granted; ///< Workers whose ticket was granted, even if it has expired since.
    MonotonicTime validUntil{}; ///< No ticket is valid after this time.
    std::uint64_t pendingNumber = 0; ///< Number of the request in flight; zero for none.
    std::uint32_t requestCount = 0; ///< Number of requests sent for the group.
    std::uint32_t failedInRow = 0; ///< Consecutive requests for the group that failed.
    bool isQueued = false; ///< The group is in AdviceState::backlog.
    MonotonicTime respondedAt{}; ///< When the last response arrived; zero before.
    Milliseconds timeWithoutTickets{0}; ///< How long the group was open without a valid ticket, until `respondedAt`.
    std::vector<WorkerRef> workersToRenew; ///< Workers whose ticket expired before a placed run was started.
    std::vector<WorkerRef> renewing; ///< Workers whose tickets the request in flight renews.
    MonotonicTime searchAt{}; ///< Workers to ask about are not searched before this time, as none was found.
    GangPlan gangPlan; ///< Of a gang whose policy service is slow; else empty.
};

/** Faults of the runs of a group; fault.cpp decides by them whether its step or its workers are to blame. */
struct GroupFaults {
    std::vector<FaultyWorker> workers; ///< Workers on which runs had faults since the last healthy one, each once.
    bool isStepAtFault = false; ///< The step is to blame for them.
    Milliseconds loggedDelay{0}; ///< Longest delay of a restart that was logged.
};

using GroupTable = Table<GroupTag, GroupIdentity, GroupState, GroupAdvice, GroupFaults>;

/** Group and index of a task. */
struct TaskIdentity {
    GroupRef group;
    std::uint32_t index = 0;
};

/** Progress of a task. */
struct TaskState {
    TaskPhase phase = TaskPhase::Waiting;
    /**
     * Number of failed runs; for an endless step, number of short runs in a row. For a member of a gang, that of the
     * gang.
     */
    std::uint32_t failures = 0;
    /** Weighted crashes of which its runs are suspected; for a member of a gang, that of the gang. */
    std::uint32_t crashWeight = 0;
    RunNumber lastRun = 0; ///< Number of the last run, or a higher number after which the next run is numbered.
    std::string checkpoint; ///< Last checkpoint; empty for none.
    RunRef run; ///< The current run; unset when the task has none.
    WorkerRef avoidedWorker; ///< Worker of the last run that failed or stalled; the next run prefers others.
    MonotonicTime readyAt{}; ///< The task is not placed before this time.
    MonotonicTime requeuedAt{}; ///< When its last run had ended without completing it; zero before.
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
    std::uint64_t waitsForBatch = 0; ///< The run is not started before the owner's batch with this number is stored.
    bool inFlight = false; ///< A start or stop order is in flight.
    bool mayHaveArrived = false; ///< A start order got no response, so it may have been executed or may be later.
    std::uint32_t startsSent = 0; ///< Number of start orders sent.
    MonotonicTime placedAt{};
    Milliseconds timeWithoutTickets{0}; ///< GroupAdvice::timeWithoutTickets of its group at the placement.
    MonotonicTime storedAt{}; ///< When this owner learnt that its placement is stored; zero before.
    MonotonicTime sendAt{}; ///< The next order is not sent before this time.
    /** When the first start order was sent; for a run of a previous owner, when this owner took it over. */
    MonotonicTime firstSentAt{};
    /** When the worker confirmed the start or the stop; responses to polls sent later reflect that. */
    MonotonicTime confirmedAt{};
    bool stopAccepted = false; ///< The worker has accepted the stop order.
    Resources reservedOnWorker; ///< Capacity that the run adds to WorkerLoad::used.
    Resources chargedToTeam; ///< Resources that the run adds to Work::teamUse.
    std::uint32_t percent = 0; ///< Percentage of the work that is done, as last reported.
    MonotonicTime progressAt{}; ///< When the reported percentage last changed.
    bool isHealthy = false; ///< Run of an endless task that has lasted for long; see recordLongRun().
};

using RunTable = Table<RunTag, RunIdentity, RunState>;

/** A demand for which no worker has free capacity in the current pass, so that larger demands are not tried. */
struct UnplaceableDemand {
    std::string pool;
    std::string label; ///< Label that the worker must have; empty for any worker.
    Resources demand;
    /** Expected duration of a run; the maximum if unknown. Shorter runs may use more of what is reserved for gangs. */
    Milliseconds duration = Milliseconds::max();
};

/** Since when less than half of each resource of a pool has been in use; zero while more is. */
struct HalfFreeSince {
    MonotonicTime processor{};
    MonotonicTime memory{};
    MonotonicTime accelerators{};
};

/** The workers of a pool that accept tasks in a placement pass. */
struct PassPool {
    std::string name; ///< Name of the pool.
    std::vector<WorkerRef> workers;
    Resources mostFree; ///< Of each resource, the most that any of the workers had free at the start of the pass.
    std::size_t reservedForGangs = 0; ///< Number of workers with capacity that is reserved for planned gangs.
    std::size_t firmlyReserved = 0; ///< Number of workers with firm reservations for large tasks.
    Resources capacity; ///< Of all these workers.
    Resources used; ///< On all these workers at the start of the pass.
    HalfFreeSince halfFreeSince;
};

/** One placement pass over the waiting groups. */
struct PlacementPass {
    std::uint64_t number = 0; ///< Increases at the beginning and at the end of each pass.
    MonotonicTime beganAt{}; ///< Zero before the first pass.
    std::vector<PassPool> pools; ///< The workers that accept tasks.
    std::vector<UnplaceableDemand> unplaceable; ///< Demands that were found to be unplaceable.
    std::size_t reservedForGangs = 0; ///< Number of workers with capacity reserved for planned gangs, of all pools.
    std::uint32_t largeReservations = 0; ///< Reservations made in the pass for large tasks that fit on no worker yet.
    std::uint32_t stalledReservations = 0; ///< Those of them on workers on which no capacity becomes free.
    std::array<std::uint32_t, enumSize<Timeliness>> groupsWaiting{}; ///< Number of waiting groups, by their timeliness.
    std::uint32_t gangsWaiting = 0; ///< Number of waiting groups that are gangs.
};

/** Whether a job has occurrences to open. */
enum class OpeningState : std::uint8_t {
    Waits, ///< The next occurrence is not due.
    Held, ///< The next occurrence is due and waits for a budget.
    Done, ///< There are none, or the job has ended.
};

/** A job with occurrences that have not been opened. */
struct UpcomingJob {
    JobRef job;
    std::uint32_t next = 0; ///< The first occurrence that may have to be opened.
    std::vector<std::uint32_t> adopted; ///< Occurrences that were opened before their turn, in ascending order.
    OpeningState state = OpeningState::Waits;
    bool heldLogged = false; ///< It was logged that the job waits for a budget.
};

/** All active work. Empty on daemons that are not the owner. */
struct Work {
    OccurrenceTable occurrences;
    GroupTable groups;
    TaskTable tasks;
    RunTable runs;
    absl::flat_hash_map<JobRef, std::vector<OccurrenceRef>> byJob;
    absl::flat_hash_map<TaskName, RunRef> runByTask;
    absl::flat_hash_map<std::string, Resources> teamUse; ///< Resources that the runs of each team use.
    std::vector<GroupRef> waitingGroups; ///< Open groups with waiting tasks; each pass sorts them.
    std::vector<OccurrenceRef> dirty; ///< Occurrences whose progress must be written to the journal.
    std::vector<OccurrenceRef> deferred; ///< Occurrences whose progress is written at `deferredUntil` at the latest.
    MonotonicTime deferredUntil{}; ///< Valid unless `deferred` is empty.
    std::vector<UpcomingJob> upcoming;
    std::size_t firstUpcoming = 0; ///< Index of the upcoming job that is looked at first; they take turns.
    OpenRows openRows;
    std::deque<JobRef> finishedJobs; ///< Jobs whose compact record must be written.
    MonotonicTime compactAt{}; ///< No compact records are queued before this time.
    PlacementPass pass; ///< The current or the last placement pass.
    absl::flat_hash_map<std::string, HalfFreeSince> halfFreeSince; ///< By pool, as of the last pass.
    PoolLoads poolLoads; ///< What pools have done and what waits for them.
    MonotonicTime passAt{}; ///< No placement pass begins before this time.
    MonotonicTime fullPassAt{}; ///< A pass is due at this time even when nothing has changed.
    bool passRequested = false; ///< Something changed by which more tasks may be placeable than in the last pass.
};

} // namespace flamingotally::dispatch
