/** @file task_type.h Task that a simulated worker runs, as described by the payload of its job. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingotally::standin
{

/** Behaviour of a simulated task. */
struct Task {
    Milliseconds runTime{100}; ///< Run time; independent of the run time that was declared for the task.
    bool isService = false; ///< The task runs until it is stopped; `runTime` is ignored.
    bool shouldFail = false; ///< The task fails at the end of its run time.
    std::string result = "done"; ///< Result of the task, or the text of which it is made (see `resultBytes`).
    std::uint32_t resultBytes = 0; ///< Length to which `result` is repeated and cut; zero leaves it unchanged.
    std::uint32_t usagePercent = 50; ///< Resources that the task uses, in percent of those declared for it.
};

/** Parses a payload. Returns the default task when the payload is not a JSON object, or has a field that is unknown or
 * malformed. */
Task parseTask(std::string_view payload);

/** Returns the result of a task: `result`, repeated and cut to `resultBytes` bytes unless that is zero. */
std::string resultOf(const Task &task);

} // namespace flamingotally::standin
