/**
 * @file main.cpp Runs all registered tests, or only the suite or test that the first argument names. Those of the
 * registry of known_red.h are only printed, unless the argument names them.
 */
#include "known_red.h"

#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

namespace
{

/** Prints the names of the tests of a suite that are passed over. */
void printTests(const CppUnit::Test &test)
{
    if (test.getChildTestCount() == 0) {
        fmt::print("known red, passed over: {}\n", test.getName());
    }
    for (int n = 0; n < test.getChildTestCount(); ++n) {
        printTests(*test.getChildTestAt(n));
    }
}

} // namespace

int main(int argc, char **argv)
{
    setenv("RC_PARAMS", "seed=1", 0); // Makes RapidCheck repeatable, unless the caller sets RC_PARAMS.
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector results;
    CppUnit::TextTestProgressListener progress;
    controller.addListener(&results);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    auto *knownRed = CppUnit::TestFactoryRegistry::getRegistry(flamingotally::knownRedRegistry).makeTest();
    if (argc > 1) {
        runner.addTest(knownRed);
    } else {
        printTests(*knownRed);
        delete knownRed; // NOLINT(cppcoreguidelines-owning-memory): the runner would have taken it over
    }
    runner.run(controller, argc > 1 ? argv[1] : "");
    CppUnit::TextOutputter outputter(&results, std::cout);
    outputter.write();
    const int failed = results.testFailuresTotal();
    fmt::print("{} passed, {} failed\n", results.runTests() - failed, failed);
    return results.runTests() > 0 && failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
