/** @file main.cpp Runs all registered tests, or only the suite or test that the first argument names. */
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

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
    runner.run(controller, argc > 1 ? argv[1] : "");
    CppUnit::TextOutputter outputter(&results, std::cout);
    outputter.write();
    const int failed = results.testFailuresTotal();
    fmt::print("{} passed, {} failed\n", results.runTests() - failed, failed);
    return results.runTests() > 0 && failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
