/** @file scenario_test.cpp Runs every scenario (*.toml) of scenarios/ and reports all that fail. */
#include "fakes/scenario.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <vector>

using namespace flamingotally;

class ScenarioTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScenarioTest);
    CPPUNIT_TEST(everyScenarioPasses);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyScenarioPasses()
    {
        std::vector<std::filesystem::path> paths;
        for (const auto &it : std::filesystem::directory_iterator(SCENARIO_FOLDER)) {
            if (it.path().extension() == ".toml") {
                paths.push_back(it.path());
            }
        }
        CPPUNIT_ASSERT(!paths.empty());
        std::ranges::sort(paths);
        std::string failures;
        for (const auto &it : paths) {
            if (const auto report = fakes::runScenario(it.string()); !report.passed) {
                failures += it.filename().string() + "\n" + report.text;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioTest);
