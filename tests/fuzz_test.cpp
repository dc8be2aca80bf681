/** @file fuzz_test.cpp Checks the invariants of a cell under random actions and faults, from fixed seeds. */
#include "fakes/fuzz_run.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

class FuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FuzzTest);
    CPPUNIT_TEST(invariantsHoldUnderRandomActions);
    CPPUNIT_TEST(equalPlansGiveEqualReports);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariantsHoldUnderRandomActions()
    {
        for (const std::uint64_t seed : {11, 12, 13}) {
            const auto report = fakes::fuzz({.seed = seed, .cells = 25, .maxListLength = 150});
            CPPUNIT_ASSERT_MESSAGE(report.text, report.passed);
            CPPUNIT_ASSERT(report.accepted > 0 && report.runs > 0);
        }
    }

    void equalPlansGiveEqualReports()
    {
        const fakes::FuzzPlan plan{.seed = 21, .cells = 3, .maxListLength = 40};
        const auto one = fakes::fuzz(plan);
        const auto other = fakes::fuzz(plan);
        CPPUNIT_ASSERT_EQUAL(one.text, other.text);
        CPPUNIT_ASSERT_EQUAL(one.checks, other.checks);
        CPPUNIT_ASSERT_EQUAL(one.runs, other.runs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FuzzTest);
