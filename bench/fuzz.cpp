/**
 * @file fuzz.cpp Runs the fuzzer with one seed after another until enough steps were checked. scripts/fuzz.sh runs
 * several processes of this program at once.
 */
#include "fakes/fuzz_run.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <iostream>
#include <optional>

namespace
{

using namespace flamingotally::fakes;

/** Parsed command line. */
struct Options {
    std::uint64_t steps = 1'000'000; ///< Minimum number of steps to check.
    std::uint64_t firstSeed = 1'000;
    std::uint64_t stride = 1; ///< Difference between one seed and the next.
    int cells = 20; ///< Cells per seed.
    int maxListLength = 400; ///< Maximum number of actions on a cell.
    bool shouldShrink = false; ///< Search for a shorter failing list of actions.
    bool shouldContinue = false; ///< Go on with the next seed after a failure.
};

/** Results, summed over all seeds. */
struct Total {
    std::uint64_t seeds = 0;
    std::uint64_t failedSeeds = 0;
    FuzzReport sum;
};

/** Adds the report of one seed to the total, and prints the failure when there was one. */
void add(Total &total, std::uint64_t seed, const FuzzReport &report)
{
    ++total.seeds;
    total.sum.cells += report.cells;
    total.sum.steps += report.steps;
    total.sum.checks += report.checks;
    total.sum.accepted += report.accepted;
    total.sum.runs += report.runs;
    if (!report.passed) {
        ++total.failedSeeds;
        fmt::print("seed {} failed:\n{}\n", seed, report.text);
    }
}

/** Returns true when enough steps were checked, or when a seed failed and the fuzzer should stop then. */
bool isDone(const Total &total, const Options &options)
{
    return total.sum.steps >= options.steps || (total.failedSeeds > 0 && !options.shouldContinue);
}

/** Parses the command line. Returns nothing when the help text was requested and printed. */
std::optional<Options> parse(int argc, char **argv)
{
    namespace po = boost::program_options;
    Options options;
    po::options_description description("Options");
    description.add_options()("help", "show this text")(
        "steps", po::value(&options.steps)->default_value(options.steps), "minimum number of steps to check")(
        "first-seed",
        po::value(&options.firstSeed)->default_value(options.firstSeed),
        "seed of the first list of actions")("stride",
                                             po::value(&options.stride)->default_value(options.stride),
                                             "difference between one seed and the next")(
        "cells", po::value(&options.cells)->default_value(options.cells), "cells per seed")(
        "longest-list",
        po::value(&options.maxListLength)->default_value(options.maxListLength),
        "maximum number of actions on a cell")(
        "shrink", po::bool_switch(&options.shouldShrink), "shrink a failing list of actions")(
        "keep-going", po::bool_switch(&options.shouldContinue), "continue with the next seed after a failure");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        return std::nullopt;
    }
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parse(argc, argv);
    if (!options) {
        return EXIT_SUCCESS;
    }
    Total total;
    for (auto seed = options->firstSeed; !isDone(total, *options); seed += options->stride) {
        add(total, seed, fuzz({seed, options->cells, options->maxListLength, options->shouldShrink}));
    }
    fmt::print("{} seeds, {} cells, {} steps, {} checks, {} jobs accepted, {} attempts run, {} seeds failed\n",
               total.seeds,
               total.sum.cells,
               total.sum.steps,
               total.sum.checks,
               total.sum.accepted,
               total.sum.runs,
               total.failedSeeds);
    return total.failedSeeds == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
