/** @file start_retry_test.cpp When a failed step of a start is tried again. */
#include "net/start_retry.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

namespace
{

constexpr MonotonicTime begin{Milliseconds{1'000'000}};

} // namespace

class StartRetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartRetryTest);
    CPPUNIT_TEST(pausesGrowAndEndAtTheLimit);
    CPPUNIT_TEST(limitOfZeroAllowsOneTry);
    CPPUNIT_TEST(processThatWasPausedTriesOnceMore);
    CPPUNIT_TEST_SUITE_END();

public:
    void pausesGrowAndEndAtTheLimit()
    {
        StartRetry retry(Milliseconds{10'000}, 1);
        CPPUNIT_ASSERT(!retry.hasFailed());
        auto now = begin;
        int tries = 0;
        auto longest = Milliseconds::zero();
        while (const auto pause = retry.pauseAfterFailure(now)) {
            CPPUNIT_ASSERT(*pause > Milliseconds::zero() && *pause <= Milliseconds{500});
            CPPUNIT_ASSERT(tries > 0 || *pause <= Milliseconds{20});
            longest = std::max(longest, *pause);
            now += *pause;
            ++tries;
        }
        CPPUNIT_ASSERT(now == begin + Milliseconds{10'000});
        CPPUNIT_ASSERT(longest > Milliseconds{250});
        CPPUNIT_ASSERT(tries < 60);
    }

    void limitOfZeroAllowsOneTry()
    {
        StartRetry retry(Milliseconds::zero(), 1);
        CPPUNIT_ASSERT(!retry.pauseAfterFailure(begin));
    }

    void processThatWasPausedTriesOnceMore()
    {
        StartRetry retry(Milliseconds{10'000}, 1);
        CPPUNIT_ASSERT(retry.pauseAfterFailure(begin));
        // the try after the pause comes before the limit is looked at
        CPPUNIT_ASSERT(!retry.pauseAfterFailure(begin + Milliseconds{60'000}));
        CPPUNIT_ASSERT(retry.waited(begin + Milliseconds{60'000}) == Milliseconds{60'000});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartRetryTest);
