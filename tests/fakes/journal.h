/** @file journal.h What an outsider sees of a world: runs on workers, calls with their answers, changes of hosts. */
#pragma once

#include "message_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingotally::fakes
{

constexpr Milliseconds notYet{-1}; ///< Stands for a time that has not come.

/** One attempt that a worker took. */
struct Run {
    std::size_t worker = 0; ///< Index in the world.
    AttemptNumber attempt = 0;
    RequestId request;
    std::uint32_t ordinal = 0;
    std::string payload;
    Resources held;
    Milliseconds startedAt{0};
    Milliseconds endedAt = notYet;
    Outcome outcome = Outcome::None;
};

/** How far a call is. */
enum class CallState : std::uint8_t {
    Waiting,
    Answered,
    Cut, ///< The daemon went away before it answered.
    NotSent, ///< No daemon took the connection.
    End,
};

/** What the front shows of one task. */
struct TaskView {
    Outcome outcome = Outcome::None;
    TaskResult result;
};

/** What the front shows of a job. */
struct JobView {
    std::string team;
    Outcome outcome = Outcome::None;
    std::vector<TaskView> tasks; ///< Empty when the job has expired.
};

/** One request of a caller or an operator. */
struct Call {
    std::size_t daemon = 0; ///< Index in the world.
    CallerRequest request;
    Milliseconds sentAt{0};
    Milliseconds answeredAt = notYet;
    CallState state = CallState::Waiting;
    CallerResponse answer;
    std::optional<JobView> view; ///< The job as the daemon showed it with the answer.
    bool cutByStop = false; ///< Cut although the daemon was stopped in a planned way.
};

/** Kind of an observation. */
enum class Seen : std::uint8_t {
    RunStarted,
    RunEnded,
    CallSent,
    CallAnswered, ///< Or cut, or not sent.
    End,
};

/** One thing seen, in the order of time. */
struct Observation {
    Milliseconds at{0};
    Seen seen = Seen::RunStarted;
    std::size_t index = 0; ///< Place in `runs` or `calls`.
};

/** All that was seen since the world began. */
struct Journal {
    std::vector<Run> runs;
    std::vector<Call> calls;
    std::vector<Observation> observations;
    std::map<std::pair<std::string, std::uint32_t>, Milliseconds>
        saved; ///< Kept by checkpoints, by payload and ordinal.
};

} // namespace flamingotally::fakes
