/** @file task_type.h Task that a simulated worker carries out, as described by the payload. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingotally::standin
{

/** Behaviour of a simulated task. */
struct Task {
    Milliseconds run{100}; ///< Real run time.
    bool service = false; ///< Runs until it is stopped.
    bool fail = false; ///< Fails at the end of its run time.
    std::string result = "done"; ///< Result of the task...
    std::uint32_t resultBytes = 0; ///< ... repeated up to this length when set.
    std::uint32_t usagePercent = 50; ///< Usage, in percent of the declared resources.
};

/** Parses a payload. Returns the default task when it is not a JSON object that has only valid, known fields. */
Task parseTask(std::string_view payload);

/** Returns the complete result of a task. */
std::string resultOf(const Task &task);

} // namespace flamingotally::standin
