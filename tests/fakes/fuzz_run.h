/** @file fuzz_run.h Stateful fuzzing of a cell by RapidCheck: random lists of acts, shrunk when a promise breaks. */
#pragma once

#include <cstdint>
#include <string>

namespace flamingotally::fakes
{

/** How much to fuzz. */
struct FuzzPlan {
    std::uint64_t seed = 1;
    int cells = 20; ///< Lists of acts, each on a fresh cell.
    int maxListLength = 100;
    bool shrink = true;
};

/** What came out. */
struct FuzzReport {
    bool passed = false;
    std::string text; ///< RapidCheck's account of the failure, with the shrunk list of acts.
    std::uint64_t cells = 0;
    std::uint64_t steps = 0; ///< Acts, each followed by a check.
    std::uint64_t checks = 0;
    std::uint64_t accepted = 0; ///< Jobs.
    std::uint64_t runs = 0; ///< Attempts that workers took.
};

/** Fuzzes by a plan. The same plan gives the same report. */
FuzzReport fuzz(const FuzzPlan &plan);

} // namespace flamingotally::fakes
