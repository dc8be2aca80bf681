/** @file job_type.h Jobs of several steps: what callers ask for, and how tasks and runs are named. */
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

/** Id of a job, chosen by its caller; the same id is the same job, wherever it is handed in. */
using JobId = std::uint64_t;

/** Number of a run of a task: rises with each start. The members of a gang share it. */
using RunNumber = std::uint64_t;

/** Fencing token of an owner: rises with each change of ownership. */
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
    std::uint32_t count = 1; ///< Tasks.
    Resources perTask;
    Milliseconds runEstimate{0}; ///< Rough; zero when not known.
    std::vector<std::uint32_t> after; ///< Earlier steps whose tasks must all have ended well.
    bool checkpoints = false; ///< Saves its progress.
    bool gang = false; ///< All tasks run at once or none.
    bool rackBound = false; ///< Slower when spread over more than one rack.
    bool speculative = false; ///< Copies may run side by side; the first end counts.
    bool endless = false; ///< Runs until cancelled and is started again however it ends.
    bool bestEffort = false; ///< Takes only what processor time others leave unused.
    std::string requiredLabel; ///< Label that the worker must have; empty for any.
    std::string dataRack; ///< Rack of its data; empty for none.
    std::string image; ///< Tasks of the same image behave alike.
    std::uint32_t maxPerWorker = 0; ///< Most tasks of one occurrence on one worker; zero for any number.
    std::uint32_t maxUnavailable = 0; ///< Endless tasks that may be away at once by the system's own doing.
    Milliseconds targetResponse{0}; ///< Bound of the tail of its own users' response times; zero for none.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(count, perTask, runEstimate, after, checkpoints, gang, rackBound, speculative, endless, bestEffort);
        visitor(requiredLabel, dataRack, image, maxPerWorker, maxUnavailable, targetResponse);
    }
};

/** When the steps of a job run more than once. */
struct Repetition {
    std::uint32_t times = 0; ///< Zero: once, at once.
    Milliseconds firstAt{0}; ///< Due time of the first occurrence, since the Unix epoch.
    Milliseconds interval{0}; ///< Between due times.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(times, firstAt, interval);
    }
};

/** What a caller hands in. Never changes after it is accepted. */
struct JobSpec {
    std::string payload; ///< Handed to each task as it is.
    std::vector<StepSpec> steps;
    Repetition repetition;

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

/** Public name of a task. */
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
    Placed, ///< A run is under way, or was ordered.
    Done,
    Dropped, ///< Its job has failed or was cancelled.
    End,
};

/** How a run ended, as its worker lists it. */
enum class RunEnd : std::uint8_t {
    Done,
    Failed,
    Stopped,
    LeaseExpired, ///< Its lease ran out.
    Broken, ///< Another member of its gang ended.
    Alone, ///< The other members of its gang did not come.
    End,
};

/** State of a run. */
enum class RunPhase : std::uint8_t {
    Planned, ///< Its placement is not stored yet: no order may be sent.
    Ordered, ///< Orders are sent; whether it runs is not known.
    Running,
    Stopping, ///< It is to stop, or never to begin.
    Unverified, ///< Placed by an earlier owner; its worker was not asked yet.
    End,
};

} // namespace flamingotally::dispatch
