/**
 * @file scenario.h Scripted scenarios: TOML files of steps, each with a time and an action or an expectation. The
 * oracle checks all invariants while a scenario runs, and at the end that all work has ended. scenarios/README.md lists
 * the keywords.
 */
#pragma once

#include <string>

namespace flamingotally::fakes
{

/** Result of a scenario. */
struct ScenarioReport {
    bool passed = false;
    std::string text; ///< Failed expectations and violations, one for each line.
};

/**
 * Runs a scenario.
 * @param path The TOML file.
 */
ScenarioReport runScenario(const std::string &path);

} // namespace flamingotally::fakes
