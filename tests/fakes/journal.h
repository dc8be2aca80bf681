/** @file journal.h Externally visible events of a world: runs on workers, and calls with their responses. */
#pragma once

#include "message_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingotally::fakes
{

constexpr Milliseconds notYet{-1}; ///< Time of an event that has not happened.

/** One attempt that a worker started. */
struct Run {
    std::size_t worker = 0; ///< Index in the world.
    AttemptNumber attempt = 0;
    RequestId request;
    std::uint32_t ordinal = 0;
    std::string payload;
    Resources reserved; ///< Resources that the start order reserved for the attempt.
    Milliseconds startedAt{0};
    Milliseconds endedAt = notYet;
    Outcome outcome = Outcome::None;
};

/** State of a call. */
enum class CallState : std::uint8_t {
    Waiting,
    Answered,
    Cut, ///< The process of the daemon ended before it responded.
    NotSent, ///< No daemon accepted the connection.
    End,
};

/** State of a task that the front end shows. */
struct TaskView {
    Outcome outcome = Outcome::None;
    TaskResult result;
};

/** State of a job that the front end shows. */
struct JobView {
    std::string team;
    Outcome outcome = Outcome::None;
    std::vector<TaskView> tasks; ///< Empty if the job has expired.
};

/** One request of a caller or an operator. */
struct Call {
    std::size_t daemon = 0; ///< Index in the world.
    CallerRequest request;
    Milliseconds sentAt{0};
    Milliseconds answeredAt = notYet;
    CallState state = CallState::Waiting;
    CallerResponse response;
    std::optional<JobView> view; ///< The job that the daemon showed with the response.
    bool wasCutByStop = false; ///< Whether a planned stop of the daemon cut the call.
};

/** Kind of an observation. */
enum class ObservationKind : std::uint8_t {
    RunStarted,
    RunEnded,
    CallSent,
    CallAnswered, ///< The call was answered, was cut, or could not be sent.
    End,
};

/** One observed event. */
struct Observation {
    Milliseconds at{0};
    ObservationKind kind = ObservationKind::RunStarted;
    std::size_t index = 0; ///< Index in `runs` or `calls`.
};

/** All events observed since the start of the world. */
struct Journal {
    std::vector<Run> runs;
    std::vector<Call> calls;
    std::vector<Observation> observations;
    /** Run time saved by checkpoints, by payload and ordinal. */
    std::map<std::pair<std::string, std::uint32_t>, Milliseconds> saved;
};

} // namespace flamingotally::fakes
