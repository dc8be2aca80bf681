/** @file job_type.h Jobs of several steps: their specification, and the names of tasks and runs. */
#pragma once

#include "core/table.h"
#include "core/time_type.h"
#include "resources_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingotally::dispatch
{

/** Id of a job, chosen by its caller. Submissions with the same id are the same job, whichever daemon receives them. */
using JobId = std::uint64_t;

/** Number of a run of a task; increases with each start. The members of a gang share it. */
using RunNumber = std::uint64_t;

/** Fencing token of an owner; increases with each change of ownership. */
using Token = std::uint64_t;

struct JobTag;
struct GroupTag;
struct TaskTag;
struct RunTag;
struct WorkerTag;
using JobRef = Ref<JobTag>;
using GroupRef = Ref<GroupTag>;
using TaskRef = Ref<TaskTag>;
using RunRef = Ref<RunTag>;
using WorkerRef = Ref<WorkerTag>;

/** One step of a job: equal tasks that wait for the same earlier steps. */
struct StepSpec {
    std::uint32_t count = 1; ///< Number of tasks.
    Resources perTask;
    Milliseconds runEstimate{0}; ///< Rough duration of one run; zero when unknown.
    std::vector<std::uint32_t> after; ///< Indexes of earlier steps whose tasks must all be done first.
    bool savesCheckpoints = false; ///< Its tasks save checkpoints.
    bool gang = false; ///< Its tasks run all at the same time or not at all.
    bool rackBound = false; ///< Its tasks run slower when spread over more than one rack.
    bool speculative = false; ///< Copies of a task may run concurrently; the first one to end counts.
    bool endless = false; ///< Its tasks run until cancelled, and are restarted however they end.
    bool bestEffort = false; ///< Its tasks use only processor time that other runs leave idle.
    std::string requiredLabel; ///< Label that the worker must have; empty for any worker.
    std::string dataRack; ///< Rack of the input data; empty for none.
    std::string image; ///< Name of the program image; tasks of the same image behave alike.
    std::uint32_t maxPerWorker = 0; ///< Maximum tasks of one occurrence on one worker; zero for no maximum.
    std::uint32_t maxUnavailable = 0; ///< Maximum endless tasks that the scheduler may keep stopped at the same time.
    Milliseconds targetResponse{0}; ///< Bound on the tail latency towards the task's own users; zero for none.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(
            count, perTask, runEstimate, after, savesCheckpoints, gang, rackBound, speculative, endless, bestEffort);
        visitor(requiredLabel, dataRack, image, maxPerWorker, maxUnavailable, targetResponse);
    }
};

/** Schedule of a job whose steps run more than once. */
struct Repetition {
    std::uint32_t times = 0; ///< Number of occurrences; zero for a single one that is due immediately.
    Milliseconds firstAt{0}; ///< Due time of the first occurrence, since the Unix epoch.
    Milliseconds interval{0}; ///< Time between two due times.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(times, firstAt, interval);
    }
};

/**
 * Specification of a job as its caller submits it. It never changes after the job is accepted, until payload and steps
 * are removed when the job has ended.
 */
struct JobSpec {
    std::string payload; ///< Passed unchanged to each task.
    std::vector<StepSpec> steps;
    Repetition repetition;

    /** Number of occurrences; at least one. */
    std::uint32_t occurrences() const
    {
        return repetition.times > 0 ? repetition.times : 1;
    }

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(payload, steps, repetition);
    }
};

/** Name of a task, as workers and logs show it. */
struct TaskName {
    JobId job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const TaskName &, const TaskName &) = default; // NOLINT(modernize-use-nullptr)

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const TaskName &name)
    {
        return Hash::combine(std::move(state), name.job, name.occurrence, name.step, name.index);
    }
};

/** State of a job as callers see it. */
enum class JobPhase : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
    End,
};

/** How an occurrence of a job ended. */
enum class OccurrenceOutcome : std::uint8_t {
    None,
    Completed,
    Failed,
    End,
};

/** State of a task. */
enum class TaskPhase : std::uint8_t {
    Waiting,
    Placed, ///< The task has a run, in any RunPhase.
    Done,
    Dropped, ///< The task will not run, as its job has failed or was cancelled.
    End,
};

/** How a run ended, as its worker reports it. */
enum class RunEnd : std::uint8_t {
    Done,
    Failed,
    Stopped,
    LeaseExpired, ///< The lease expired. The owner uses this value also for runs that disappeared from their worker.
    GangBroken, ///< Another member of its gang had ended before.
    GangIncomplete, ///< The other members of its gang did not start.
    End,
};

/** State of a run. */
enum class RunPhase : std::uint8_t {
    Planned, ///< Its placement is not stored yet, so no order may be sent.
    Ordered, ///< Its placement is stored, so start orders may be sent; the worker has not confirmed the start.
    Running,
    Stopping, ///< The run must be stopped, or prevented from starting.
    Unverified, ///< Placed by a previous owner; the worker has not confirmed the run to this owner yet.
    End,
};

} // namespace flamingotally::dispatch
