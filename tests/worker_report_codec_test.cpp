/** @file worker_report_codec_test.cpp Tests of malformed reports of workers. */
#include "worker_report_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace flamingotally;
using namespace flamingotally::dispatch;

namespace
{

constexpr const char *task = "00000000000000a1.0.0.3";

PollResponse decode(std::string_view bytes)
{
    PollResponse response;
    response.result = OrderResult::Accepted;
    platform::decodeReport(bytes, response);
    return response;
}

} // namespace

class WorkerReportCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerReportCodecTest);
    CPPUNIT_TEST(oddNumberOfAnEndHidesNoLaterEnds);
    CPPUNIT_TEST(oddBirthIsNoRestart);
    CPPUNIT_TEST(tellsWhetherMoreEndsFollow);
    CPPUNIT_TEST(knowsTheNumberOfAnEndThatCannotBeRead);
    CPPUNIT_TEST_SUITE_END();

public:
    /** The end of a run under a negative number read as a huge one, so that all later ends counted as known. */
    void oddNumberOfAnEndHidesNoLaterEnds()
    {
        for (const char *number :
             {"-1", "0", "1e300", "9223372036854775807", "18446744073709551615", "\"5\"", "null"}) {
            const auto response = decode(fmt::format(
                R"({{"clockMs":5,"born":7,"running":[[1],["{0}",-2,"",50]],"ended":[[{1},"{0}",1,"done",""],[4,"{0}",1,"done",""]]}})",
                task,
                number));
            CPPUNIT_ASSERT(response.result == OrderResult::Accepted);
            CPPUNIT_ASSERT(response.hasMalformedRows);
            CPPUNIT_ASSERT(response.running.empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, response.ended.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, response.ended.front().number);
        }
    }

    /** A time of birth of another type read as 1, as if the worker had restarted, which ended its runs. */
    void oddBirthIsNoRestart()
    {
        for (const char *born : {"\"7\"", "[]", "-7", "0", "1e300"}) {
            const auto response = decode(fmt::format(R"({{"clockMs":5,"born":{}}})", born));
            CPPUNIT_ASSERT(response.result == OrderResult::NoResponse);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, decode(R"({"clockMs":5,"born":7})").incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, decode(R"({"clockMs":5})").incarnation);
        CPPUNIT_ASSERT(decode(R"({"clockMs":-5})").result == OrderResult::NoResponse);
    }

    /** A report of 500 ends was taken for a complete one, so that runs whose ends it lacked were taken for lost. */
    void tellsWhetherMoreEndsFollow()
    {
        const auto withEnds = [](int n) {
            std::string rows;
            for (int i = 1; i <= n; ++i) {
                rows += fmt::format(R"({}[{},"{}",1,"done",""])", i == 1 ? "" : ",", i, task);
            }
            return decode(fmt::format(R"({{"clockMs":5,"born":7,"running":[],"ended":[{}]}})", rows));
        };
        CPPUNIT_ASSERT(!withEnds(0).hasMoreEnds);
        CPPUNIT_ASSERT(!withEnds(499).hasMoreEnds);
        CPPUNIT_ASSERT(withEnds(500).hasMoreEnds);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, withEnds(500).lastEndNumber);
    }

    void knowsTheNumberOfAnEndThatCannotBeRead()
    {
        const auto response = decode(fmt::format(
            R"({{"clockMs":5,"born":7,"ended":[[4,"{0}",1,"done",""],[6,"no task",1,"done",""],[],7,["8"]]}})", task));
        CPPUNIT_ASSERT(response.hasMalformedRows);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, response.ended.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, response.lastEndNumber);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerReportCodecTest);
