/** @file job_base.h Tables of jobs, tasks and attempts. */
#pragma once

#include "core/time_type.h"
#include "daemon_type.h"
#include "job_type.h"
#include "profile_base.h"
#include "request_type.h"
#include "resources_type.h"
#include "team_type.h"
#include "worker_type.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingotally
{

/** Whose job it is. */
struct JobIdentity {
    RequestId request; ///< Id under which it was submitted; also the job's public id.
    std::string name; ///< For people.
    TeamRef team;
    ProfileRef profile; ///< The profile, for its name; the copy in the specification is what counts.
    DaemonRef acceptor; ///< Daemon that accepted it.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(request, name, team, profile, acceptor);
    }
};

/** What a job asks for. Never changes after it is accepted. */
struct JobSpec {
    ProfileSpec profileSpec; ///< The profile's values at the time of acceptance.
    Resources perTask; ///< Declared need of each task.
    std::uint32_t count = 1; ///< Number of tasks.
    Milliseconds runEstimate{0}; ///< Declared run time; zero when not known.
    std::string payload; ///< Handed to the worker as it is.
    std::uint64_t bodyDigest = 0; ///< Digest of the request's body, to tell a repeat from a reuse of the id.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(profileSpec, perTask, count, runEstimate, payload, bodyDigest);
    }
};

/** How far a job is. */
struct JobState {
    Outcome outcome = Outcome::None;
    LogTime acceptedAt{};
    LogTime endedAt{};
    std::uint32_t waiting = 0; ///< Tasks with no live attempt.
    std::uint32_t placed = 0; ///< Tasks with a live attempt.
    std::uint32_t ended = 0;
    std::uint32_t failed = 0; ///< Tasks that ended in any other way than success.
    bool cancelled = false; ///< A cancel was accepted; what runs is being stopped.
    std::vector<TaskRef> tasks; ///< By ordinal.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(outcome, acceptedAt, endedAt, waiting, placed, ended, failed, cancelled, tasks);
    }
};

using JobTable = Table<JobTag, JobIdentity, JobSpec, JobState>;

/** Which task of which job. */
struct TaskIdentity {
    JobRef job;
    std::uint32_t ordinal = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(job, ordinal);
    }
};

/** What the scheduler reads of a task. */
struct TaskState {
    TaskPhase phase = TaskPhase::Waiting;
    Outcome outcome = Outcome::None;
    AttemptRef attempt; ///< The live attempt, when placed.
    LogTime waitingSince{}; ///< When it last began to wait.
    LogTime notBefore{}; ///< Backoff: no attempt before this.
    std::uint32_t attempts = 0; ///< Attempts so far.
    std::uint32_t failures = 0; ///< Attempts that failed.
    WorkerRef lastFailedOn; ///< Worker of the last failed attempt, to be avoided.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(phase, outcome, attempt, waitingSince, notBefore, attempts, failures, lastFailedOn);
    }
};

/** What a task left behind. */
struct TaskResult {
    std::string body; ///< The answer, when it is small enough for the record.
    std::uint64_t length = 0; ///< Length of the whole answer in bytes.
    std::uint64_t digest = 0; ///< XXH3 of the whole answer.
    std::string heldBy; ///< Name of the worker that holds a longer answer...
    AttemptNumber attempt = 0; ///< ... under this attempt. Filled in when the end is applied.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(body, length, digest, heldBy, attempt);
    }
};

using TaskTable = Table<TaskTag, TaskIdentity, TaskState, TaskResult>;

/** What runs where. */
struct AttemptIdentity {
    AttemptNumber number = 0;
    TaskRef task;
    WorkerRef worker;
    std::uint64_t bootId = 0; ///< Boot of the worker it was placed on; another boot never runs it.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(number, task, worker, bootId);
    }
};

/** How far a live attempt is. */
struct AttemptState {
    Resources held; ///< What it takes of its worker and of its team's limit.
    LogTime placedAt{};
    StopCause stop = StopCause::None; ///< Why it is being stopped.
    bool lapsing = false; ///< Marked: no fresh daemon renews its lease.
    std::uint64_t lapsingOffset = 0; ///< Offset of the mark.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(held, placedAt, stop, lapsing, lapsingOffset);
    }
};

using AttemptTable = Table<AttemptTag, AttemptIdentity, AttemptState>;

/** What is remembered of a request within the window, after its job is gone. */
struct RequestRecord {
    RequestId id;
    std::uint64_t bodyDigest = 0;
    JobRef job; ///< Stale when the job has expired.
    Outcome outcome = Outcome::None; ///< How the job ended, once it expired.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(id, bodyDigest, job, outcome);
    }
};

using RequestTable = Table<RequestTag, RequestRecord>;

} // namespace flamingotally
