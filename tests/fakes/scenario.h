/**
 * @file scenario.h Scripted scenarios: TOML files of steps with a time, something to do or something to expect. The
 * oracle checks all promises on the way and that all work ends. scenarios/README.md lists the words.
 */
#pragma once

#include <string>

namespace flamingotally::fakes
{

/** What came out of a scenario. */
struct ScenarioReport {
    bool passed = false;
    std::string text; ///< What was expected and not found, and the promises broken; one a line.
};

/**
 * Runs a scenario.
 * @param path The TOML file.
 */
ScenarioReport runScenario(const std::string &path);

} // namespace flamingotally::fakes
