/** @file fuzz_run.h Stateful fuzzing of a cell with RapidCheck: random lists of actions, shrunk on a violation. */
#pragma once

#include <cstdint>
#include <string>

namespace flamingotally::fakes
{

/** Extent of a fuzzing run. */
struct FuzzPlan {
    std::uint64_t seed = 1;
    int cells = 20; ///< Number of lists of actions, each on a new cell.
    int maxListLength = 100; ///< Maximum number of actions in a list.
    bool shrink = true; ///< Search for a shorter failing list.
};

/** Result of a fuzzing run. */
struct FuzzReport {
    bool passed = false;
    std::string text; ///< RapidCheck's description of the failure, with the shrunk list of actions.
    std::uint64_t cells = 0;
    std::uint64_t steps = 0; ///< Actions, each followed by a check.
    std::uint64_t checks = 0;
    std::uint64_t accepted = 0; ///< Accepted jobs.
    std::uint64_t runs = 0; ///< Attempts that workers started.
};

/** Runs the fuzzer. The same plan gives the same report. */
FuzzReport fuzz(const FuzzPlan &plan);

} // namespace flamingotally::fakes
