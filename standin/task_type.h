/** @file task_type.h What a payload asks a simulated worker to do. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingotally::standin
{

/** A task. */
struct Task {
    Milliseconds run{100}; ///< Real run time.
    bool service = false; ///< Runs until it is stopped.
    bool fail = false; ///< Fails at the end of its run.
    std::string result = "done"; ///< Its answer...
    std::uint32_t resultBytes = 0; ///< ... repeated up to this length when set.
    std::uint32_t usagePercent = 50; ///< Of the declared need.
};

/** Reads a payload. One that is not a JSON object of the known fields gives the default task. */
Task parseTask(std::string_view payload);

/** The whole answer of a task. */
std::string resultOf(const Task &task);

} // namespace flamingotally::standin
