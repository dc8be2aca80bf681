/** @file scenario.cpp Runs the scenario files named on the command line and prints the result of each. */
#include "fakes/scenario.h"

#include <fmt/format.h>

#include <cstdlib>

int main(int argc, char **argv)
{
    int failed = 0;
    for (int n = 1; n < argc; ++n) {
        const auto report = flamingotally::fakes::runScenario(argv[n]);
        failed += report.passed ? 0 : 1;
        fmt::print("{} {}\n{}", report.passed ? "holds" : "FAILS", argv[n], report.text);
    }
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
