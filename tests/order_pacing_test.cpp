/** @file order_pacing_test.cpp Tests of the pacing of orders to workers. */
#include "dispatch/policy/order_pacing.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;
using namespace flamingotally::dispatch;

namespace
{

constexpr Milliseconds fast{5};
constexpr Milliseconds slow{400};
constexpr Milliseconds shortestTimeout{200};

/** Records responses that take the given time, one each millisecond. */
void record(OrderPacing &pacing, std::size_t n, Milliseconds elapsed, MonotonicTime &now)
{
    for (std::size_t i = 0; i < n; ++i) {
        now += Milliseconds{1};
        recordResponse(pacing, elapsed, now);
    }
}

} // namespace

class OrderPacingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderPacingTest);
    CPPUNIT_TEST(opensTheWindowWhileResponsesAreFast);
    CPPUNIT_TEST(halvesTheWindowOncePerResponseTime);
    CPPUNIT_TEST(keepsSomeOrdersInFlightAndRecovers);
    CPPUNIT_TEST(isNotMisledByAFewDeadWorkers);
    CPPUNIT_TEST(waitsLongerForResponsesOverACongestedLink);
    CPPUNIT_TEST_SUITE_END();

public:
    void opensTheWindowWhileResponsesAreFast()
    {
        OrderPacing pacing;
        MonotonicTime now{Milliseconds{1'000}};
        const auto first = pacing.window;
        record(pacing, 100, fast, now);
        CPPUNIT_ASSERT_EQUAL(first + 100, pacing.window);
        record(pacing, 2'000, fast, now);
        CPPUNIT_ASSERT_EQUAL(order_pacing::maxWindow, pacing.window);
        CPPUNIT_ASSERT(!wasCongested(pacing, now));
    }

    void halvesTheWindowOncePerResponseTime()
    {
        OrderPacing pacing;
        MonotonicTime now{Milliseconds{1'000}};
        record(pacing, OrderPacing::memory, fast, now);
        const auto window = pacing.window;
        record(pacing, OrderPacing::memory, slow, now);
        CPPUNIT_ASSERT(pacing.window >= window / 2 && pacing.window < window);
        const auto reduced = pacing.window;
        record(pacing, 100, slow, now);
        CPPUNIT_ASSERT_EQUAL(reduced, pacing.window);
        now += slow;
        record(pacing, 1, slow, now);
        CPPUNIT_ASSERT_EQUAL(reduced / 2, pacing.window);
    }

    void keepsSomeOrdersInFlightAndRecovers()
    {
        OrderPacing pacing;
        MonotonicTime now{Milliseconds{1'000}};
        record(pacing, 20'000, slow, now);
        CPPUNIT_ASSERT_EQUAL(order_pacing::minWindow, pacing.window);
        CPPUNIT_ASSERT(wasCongested(pacing, now));
        record(pacing, 200, fast, now);
        CPPUNIT_ASSERT(pacing.window > 100);
        now += order_pacing::doubtPeriod;
        CPPUNIT_ASSERT(!wasCongested(pacing, now));
    }

    void isNotMisledByAFewDeadWorkers()
    {
        OrderPacing pacing;
        MonotonicTime now{Milliseconds{1'000}};
        for (std::size_t n = 0; n < 100; ++n) {
            record(pacing, 1, shortestTimeout, now);
            record(pacing, 2, fast, now);
        }
        CPPUNIT_ASSERT(!isCongested(pacing));
        CPPUNIT_ASSERT_EQUAL(shortestTimeout, orderTimeout(pacing, shortestTimeout));
    }

    void waitsLongerForResponsesOverACongestedLink()
    {
        OrderPacing pacing;
        MonotonicTime now{Milliseconds{1'000}};
        CPPUNIT_ASSERT_EQUAL(shortestTimeout, orderTimeout(pacing, shortestTimeout));
        record(pacing, OrderPacing::memory, slow, now);
        CPPUNIT_ASSERT(orderTimeout(pacing, shortestTimeout) > 3 * slow);
        record(pacing, OrderPacing::memory, Milliseconds{60'000}, now);
        CPPUNIT_ASSERT_EQUAL(order_pacing::longestTimeout, orderTimeout(pacing, shortestTimeout));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderPacingTest);
