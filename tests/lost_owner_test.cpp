/** @file lost_owner_test.cpp End-to-end tests of entry daemons whose hosts are lost for good. */
#include "net_fixture.h"
#include "platform_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>

using namespace flamingotally;
using namespace flamingotally::dispatch;

namespace
{

constexpr const char *jobText = R"({"spec":"text","steps":[{"count":4,"cpu":1000,"memMb":256,"estRuntimeMs":100}]})";

constexpr std::chrono::seconds limit{20}; ///< Time for a job to be accepted and to complete.

/** Entry daemons, each on an I/O context of its own: one that is lost never runs again, and closes no connection. */
struct LostOwnerFixture {
    struct Daemon {
        std::unique_ptr<boost::asio::io_context> io;
        std::string frontAddress;
        std::unique_ptr<platform::EntryDaemon> daemon;
        bool isLost = false;
    };

    explicit LostOwnerFixture(std::size_t connectionsPerWorker) : standin(io, 1, connectionsPerWorker)
    {
        standin.put("keyed.op", "config", configText);
    }

    ~LostOwnerFixture()
    {
        for (auto &it : daemons) {
            it.daemon.reset(); // before its context, on which its handlers are
        }
    }

    LostOwnerFixture(const LostOwnerFixture &) = delete;
    LostOwnerFixture &operator=(const LostOwnerFixture &) = delete;

    /** Starts a daemon under a new name; tries again if one of its ports was taken before it was bound. */
    void startDaemon()
    {
        constexpr int tries = 10;
        for (int n = 0; n < tries; ++n) {
            Daemon it;
            it.io = std::make_unique<boost::asio::io_context>(1);
            const auto settings = entrySettings(io, standin, fmt::format("d{}", daemons.size()));
            it.frontAddress = settings.frontAddress;
            it.daemon = std::make_unique<platform::EntryDaemon>(*it.io, settings, [] {});
            if (it.daemon->start().ok()) {
                daemons.push_back(std::move(it));
                return;
            }
        }
        CPPUNIT_FAIL("no port could be bound");
    }

    /** Runs the platform and all daemons that are not lost until a condition is true; fails at the limit. */
    template<typename Condition>
    void runUntil(Condition condition)
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("not in time", std::chrono::steady_clock::now() < until);
            io.restart();
            io.run_for(Milliseconds{1});
            for (auto &it : daemons) {
                if (!it.isLost) {
                    it.io->restart();
                    it.io->poll();
                }
            }
        }
    }

    /** Calls the newest daemon; returns an error if it sends no response. */
    HttpResult call(HttpMethod method, const std::string &path, const std::string &body = {})
    {
        HttpCall it;
        it.address = daemons.back().frontAddress;
        it.method = method;
        it.target = path;
        it.fields = {{"Host", "queue.example"}, {"Authorization", "Bearer red key"}};
        it.body = body;
        it.timeout = Milliseconds{3'000};
        std::optional<HttpResult> result;
        client.send(std::move(it), [&result](HttpResult arrived) { result = std::move(arrived); });
        runUntil([&result] { return result.has_value(); });
        return *std::move(result);
    }

    /** Submits a job and waits until it has completed; fails at the limit. */
    void complete(std::size_t n)
    {
        const auto path = fmt::format("/q/{:016x}", 0xa1 + n);
        const auto until = std::chrono::steady_clock::now() + limit;
        for (bool isAccepted = false; !isAccepted;) {
            CPPUNIT_ASSERT_MESSAGE("not accepted", std::chrono::steady_clock::now() < until);
            const auto result = call(HttpMethod::Post, path, jobText);
            isAccepted = result.ok() && result->status == 200;
        }
        for (bool isDone = false; !isDone;) {
            CPPUNIT_ASSERT_MESSAGE("not completed", std::chrono::steady_clock::now() < until);
            const auto result = call(HttpMethod::Get, path);
            isDone = result.ok() && result->body.find("completed") != std::string::npos;
        }
    }

    boost::asio::io_context io;
    HttpClient client{io};
    standin::PlatformStandin standin;
    std::vector<Daemon> daemons;
};

} // namespace

class LostOwnerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LostOwnerTest);
    CPPUNIT_TEST(lostOwnersLeaveTheirWorkersReachable);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Owners whose hosts were lost left so many connections at each worker that later owners could open none, and
     * accepted work waited for good. The worker takes two connections of each owner here, and no more.
     */
    void lostOwnersLeaveTheirWorkersReachable()
    {
        constexpr std::size_t owners = 3;
        LostOwnerFixture fixture(2 * owners);
        for (std::size_t n = 0; n < owners; ++n) {
            fixture.startDaemon();
            fixture.complete(n);
            fixture.daemons.back().isLost = true;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostOwnerTest);
