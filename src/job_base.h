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

/** Id, name, team and profile of a job. */
struct JobIdentity {
    RequestId request; ///< Id of the request that submitted the job; also the job's public id.
    std::string name; ///< Display name.
    TeamRef team;
    ProfileRef profile; ///< Used only for the name of the profile: the copy in JobSpec applies to the job.
    DaemonRef acceptor; ///< Daemon that accepted the job.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(request, name, team, profile, acceptor);
    }
};

/** Specification of a job. Does not change after it is accepted. */
struct JobSpec {
    ProfileSpec profileSpec; ///< Copy of the profile at the time of acceptance.
    Resources perTask; ///< Declared amounts that each task needs.
    std::uint32_t count = 1; ///< Number of tasks.
    Milliseconds runEstimate{0}; ///< Declared run time of a task; zero when not known.
    std::string payload; ///< Passed unchanged to the worker.
    std::uint64_t bodyDigest = 0; ///< Digest of the request's body, to distinguish a repeated request from a reused id.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(profileSpec, perTask, count, runEstimate, payload, bodyDigest);
    }
};

/** Progress of a job. */
struct JobState {
    Outcome outcome = Outcome::None;
    LogTime acceptedAt{};
    LogTime endedAt{};
    std::uint32_t waiting = 0; ///< Number of waiting tasks.
    std::uint32_t placed = 0; ///< Number of tasks with a live attempt.
    std::uint32_t ended = 0; ///< Number of ended tasks.
    std::uint32_t failed = 0; ///< Number of ended tasks with any outcome other than success.
    bool cancelled = false; ///< Whether a cancellation was accepted, so that the placed tasks are being stopped.
    std::vector<TaskRef> tasks; ///< In the order of the ordinals.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(outcome, acceptedAt, endedAt, waiting, placed, ended, failed, cancelled, tasks);
    }
};

using JobTable = Table<JobTag, JobIdentity, JobSpec, JobState>;

/** Job to which a task belongs, and the index of the task in the job. */
struct TaskIdentity {
    JobRef job;
    std::uint32_t ordinal = 0; ///< Index of the task in its job.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(job, ordinal);
    }
};

/** State of a task that the scheduler reads. */
struct TaskState {
    TaskPhase phase = TaskPhase::Waiting;
    Outcome outcome = Outcome::None;
    AttemptRef attempt; ///< The live attempt; unset unless the task is placed.
    LogTime waitingSince{}; ///< Time at which the task last began to wait.
    LogTime notBefore{}; ///< End of the backoff: no attempt before this time.
    std::uint32_t attempts = 0; ///< Number of attempts, without those that never started on their worker.
    std::uint32_t failures = 0; ///< Number of attempts that failed without having been ordered to stop.
    WorkerRef lastFailedOn; ///< Worker of the last failed attempt, which the next attempt avoids.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(phase, outcome, attempt, waitingSince, notBefore, attempts, failures, lastFailedOn);
    }
};

/** Result of a task. */
struct TaskResult {
    std::string body; ///< The result, if it is small enough to be stored in the log.
    std::uint64_t length = 0; ///< Length of the complete result in bytes.
    std::uint64_t digest = 0; ///< XXH3 digest of the complete result.
    std::string storedBy; ///< Name of the worker that stores the result if `body` does not; otherwise empty.
    AttemptNumber attempt = 0; ///< Attempt under which the worker stores the result. Set when the end is applied.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(body, length, digest, storedBy, attempt);
    }
};

using TaskTable = Table<TaskTag, TaskIdentity, TaskState, TaskResult>;

/** Task and worker of an attempt. */
struct AttemptIdentity {
    AttemptNumber number = 0;
    TaskRef task;
    WorkerRef worker;
    std::uint64_t bootId = 0; ///< Boot of the worker at the placement; no other boot runs the attempt.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(number, task, worker, bootId);
    }
};

/** State of a live attempt. */
struct AttemptState {
    Resources reserved; ///< Amounts that the attempt reserves on its worker and uses of its team's limit.
    LogTime placedAt{};
    StopCause stop = StopCause::None; ///< Reason why the attempt is being stopped; `None` when it is not being stopped.
    bool lapsing = false; ///< Whether the attempt is marked as lapsing: no daemon with a fresh view renews its lease.
    std::uint64_t lapsingOffset = 0; ///< Offset of the record that marked the attempt as lapsing.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(reserved, placedAt, stop, lapsing, lapsingOffset);
    }
};

using AttemptTable = Table<AttemptTag, AttemptIdentity, AttemptState>;

/** Record of a request that is retained for the request window, even after its job was deleted. */
struct RequestRecord {
    RequestId id;
    std::uint64_t bodyDigest = 0;
    JobRef job; ///< Stale after the job has expired.
    Outcome outcome = Outcome::None; ///< Outcome of the job; set when the job expires.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(id, bodyDigest, job, outcome);
    }
};

using RequestTable = Table<RequestTag, RequestRecord>;

} // namespace flamingotally
