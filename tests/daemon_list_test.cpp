/** @file daemon_list_test.cpp Tests of daemons that are gone for good: nobody waits for them or calls them any more. */
#include "dispatch_fixture.h"

#include <algorithm>

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr Milliseconds noticeTime{20'000}; ///< Time within which all daemons know that another one is gone.
constexpr Milliseconds removalTime{610'000}; ///< Time within which the record of such a daemon is removed.

/** Returns true if the journal has a record of a daemon. */
bool hasRecord(const DispatchWorld &world, const std::string &name)
{
    const auto records = world.topic.newest();
    return std::ranges::any_of(
        records, [&](const standin::ModelRecord &it) { return it.key == "d" + name && !it.value.empty(); });
}

} // namespace

class DaemonListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DaemonListTest);
    CPPUNIT_TEST(claimsDoNotWaitForDaemonsThatAreGone);
    CPPUNIT_TEST(ownerDoesNotYieldToALargerHostThatIsGone);
    CPPUNIT_TEST(sendsNoRequestsThroughDaemonsThatAreGone);
    CPPUNIT_TEST(noDaemonIsGoneWhileTheStoreIsAway);
    CPPUNIT_TEST(removesTheRecordsOfDaemonsThatAreGone);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Each daemon that was ever removed delayed the claims of the others, by 60 ms. */
    void claimsDoNotWaitForDaemonsThatAreGone()
    {
        constexpr std::size_t gone = 12;
        DispatchWorld world(gone + 2, 1);
        for (std::size_t n = 0; n < gone + 2; ++n) {
            world.entry(n).settings.processorShare = n < gone ? "1" : "0.9"; // larger hosts claim first
        }
        world.run(settleTime);
        for (std::size_t n = 0; n < gone; ++n) {
            world.kill(n);
        }
        world.run(noticeTime);
        const auto owner = world.owner().value();
        world.kill(owner);
        world.run(world.entry(owner).settings.ownerTimeout + Milliseconds{400});
        CPPUNIT_ASSERT(world.owner().has_value());
    }

    /** An owner released its cell again and again to a larger host that no longer existed. */
    void ownerDoesNotYieldToALargerHostThatIsGone()
    {
        DispatchWorld world(3, 1);
        world.entry(0).settings.processorShare = "0.12";
        world.entry(1).settings.processorShare = "0.12";
        world.entry(2).settings.processorShare = "0.5";
        world.run(Milliseconds{5'000});
        world.kill(2);
        world.run(noticeTime);
        const auto owner = world.owner().value();
        const auto token = world.entry(owner).ownership.token;
        world.run(Milliseconds{60'000});
        CPPUNIT_ASSERT_EQUAL(owner, world.owner().value());
        CPPUNIT_ASSERT_EQUAL(token, world.entry(owner).ownership.token);
    }

    /** Daemons that were removed stayed relays to the policy service for good, and each request through one failed. */
    void sendsNoRequestsThroughDaemonsThatAreGone()
    {
        DispatchWorld world(6, 4);
        auto configuration = plainConfiguration();
        configuration.queues[0].policy.advice = {true, 10, 1, Milliseconds{300}};
        world.publish(configuration);
        world.run(settleTime);
        for (std::size_t n = 0; n < 4; ++n) {
            world.kill(n);
        }
        world.run(noticeTime);
        for (JobId job = 1; job <= 20; ++job) {
            world.submit(4 + job % 2, job, jobOf({plainStep(1)}));
            world.run(Milliseconds{500});
        }
        world.run(settleTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.requestsToDeadRelays);
        CPPUNIT_ASSERT(world.phaseAt(4, 20) == JobPhase::Completed);
        assertNoViolations(world);
    }

    void noDaemonIsGoneWhileTheStoreIsAway()
    {
        DispatchWorld world(3, 1);
        world.run(settleTime);
        for (std::size_t n = 0; n < 3; ++n) {
            world.storeModes[n] = StoreMode::Down;
        }
        world.run(Milliseconds{120'000});
        for (std::size_t n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.entry(n).ownership.daemonsAlive);
            world.storeModes[n] = StoreMode::Up;
        }
        for (int n = 0; n < 100; ++n) {
            world.run(Milliseconds{100});
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.entry(0).ownership.daemonsAlive);
        }
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, std::ranges::count(world.events, EventKind::DaemonGone, &Event::kind));
    }

    void removesTheRecordsOfDaemonsThatAreGone()
    {
        DispatchWorld world(3, 1);
        world.run(settleTime);
        world.kill(2);
        world.freeze(1, removalTime); // its record is removed, too, while it is paused
        world.run(removalTime);
        CPPUNIT_ASSERT(hasRecord(world, "d0"));
        CPPUNIT_ASSERT(!hasRecord(world, "d2"));
        CPPUNIT_ASSERT(!world.entry(0).ownership.daemons.contains("d2"));
        world.run(noticeTime);
        CPPUNIT_ASSERT(hasRecord(world, "d1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.entry(0).ownership.daemonsAlive);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonListTest);
