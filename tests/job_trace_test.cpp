/** @file job_trace_test.cpp Tests that the trace of a job is joined from the log lines of several daemons. */
#include "dispatch/net/job_trace.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace flamingotally;
using namespace flamingotally::dispatch;

namespace
{

constexpr const char *logText = R"(time_ms=900 level=info daemon=d1 event=ownership_taken token=2 jobs=0 adopted_runs=0
time_ms=1010 level=info daemon=d1 event=run_placed job=00000000000000a1 step=0 tasks=1 of=1 waited_ms=5
time_ms=1020 level=info daemon=d0 event=job_accepted job=00000000000000a1 queue=q config=3 waited_ms=18
time_ms=1030 level=info daemon=d1 event=run_placed job=00000000000000b2 step=0 tasks=1 of=1 waited_ms=5
a line without an event
time_ms=1400 level=warning daemon=d1 event=worker_lost worker=w1 address=a runs=1
time_ms=1450 level=info daemon=d9 event=started domain=z
time_ms=1460 level=warning daemon=d1 event=store_lost offset=1 expired=false
time_ms=1500 level=warning daemon=d1 event=worker_lost worker=w2 address=b runs=0
time_ms=1900 level=warning daemon=d1 event=run_lost job=00000000000000a1 worker=w1 cause="lease expired"
time_ms=9000 level=warning daemon=d1 event=store_lost offset=1 expired=false
)";

} // namespace

class JobTraceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobTraceTest);
    CPPUNIT_TEST(joinsEventsOfAJob);
    CPPUNIT_TEST(traceIsEmptyForJobWithoutEvents);
    CPPUNIT_TEST(rejectsLinesWithoutKnownEvent);
    CPPUNIT_TEST_SUITE_END();

public:
    void joinsEventsOfAJob()
    {
        std::istringstream stream(logText);
        const auto trace = traceOf(readTraceLines(stream), 0xa1);
        const std::vector<EventKind> expected{EventKind::OwnershipTaken,
                                              EventKind::JobAccepted,
                                              EventKind::RunPlaced,
                                              EventKind::WorkerLost,
                                              EventKind::StoreLost,
                                              EventKind::RunLost};
        CPPUNIT_ASSERT_EQUAL(expected.size(), trace.size());
        for (std::size_t n = 0; n < expected.size(); ++n) {
            CPPUNIT_ASSERT(trace[n].kind == expected[n]);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), trace[3].worker);
        CPPUNIT_ASSERT_EQUAL(std::string("d0"), trace[1].daemon);
    }

    void traceIsEmptyForJobWithoutEvents()
    {
        std::istringstream stream(logText);
        CPPUNIT_ASSERT(traceOf(readTraceLines(stream), 0xc3).empty());
    }

    void rejectsLinesWithoutKnownEvent()
    {
        CPPUNIT_ASSERT(!parseTraceLine("").has_value());
        CPPUNIT_ASSERT(!parseTraceLine("time_ms=1 event=unheard_of").has_value());
        CPPUNIT_ASSERT(!parseTraceLine("event=started").has_value());
        const auto line = parseTraceLine("time_ms=1 daemon=d event=started");
        CPPUNIT_ASSERT(line.has_value());
        CPPUNIT_ASSERT(line->fields.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobTraceTest);
