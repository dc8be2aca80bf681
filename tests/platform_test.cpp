/**
 * @file platform_test.cpp End-to-end tests of the platform adapter: entry daemons exchange messages with the platform
 * stand-in over the published protocol.
 */
#include "config_codec.h"
#include "entry_daemon.h"
#include "job_codec.h"
#include "net_fixture.h"
#include "platform_fixture.h"
#include "store_client.h"
#include "worker_entry_codec.h"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <memory>

using namespace flamingotally;
using namespace flamingotally::dispatch;

namespace
{

constexpr const char *jobText = R"({"spec":"text","steps":[
    {"count":3,"cpu":500,"memMb":256,"estRuntimeMs":100},
    {"count":2,"cpu":1000,"memMb":256,"estRuntimeMs":100,"dependsOn":[0]}]})";

/** Two entry daemons and the platform stand-in to which they connect. */
struct PlatformFixture {
    explicit PlatformFixture(std::size_t workers) : standin(io, workers)
    {
        standin.put("keyed.op", "config", configText);
        for (const char *name : {"d0", "d1"}) {
            while (!startDaemon(name)) {
                CPPUNIT_ASSERT(++failedStarts < 10);
            }
        }
    }

    /** Starts a daemon; returns false if one of its ports was taken before it was bound. */
    bool startDaemon(const std::string &name)
    {
        const auto settings = entrySettings(io, standin, name);
        auto daemon = std::make_unique<platform::EntryDaemon>(io, settings, [] {});
        if (!daemon->start().ok()) {
            return false;
        }
        frontAddresses.push_back(settings.frontAddress);
        metricsAddresses.push_back(settings.metricsAddress);
        daemons.push_back(std::move(daemon));
        return true;
    }

    /** Calls a daemon with the API key `key`; fails unless a response arrives within 10 s. */
    HttpResponse call(std::size_t daemon, HttpMethod method, const std::string &path, const std::string &body = {})
    {
        HttpCall it;
        it.address = frontAddresses[daemon];
        it.method = method;
        it.target = path;
        it.fields = {{"Host", "queue.example"}, {"Authorization", "Bearer " + key}};
        it.body = body;
        it.timeout = Milliseconds{10'000};
        const auto result = callAndWait(io, client, std::move(it));
        CPPUNIT_ASSERT(result.ok());
        return *result;
    }

    /** Returns the state of a job that a daemon reports. */
    std::string stateOf(std::size_t daemon, const std::string &path)
    {
        const auto response = call(daemon, HttpMethod::Get, path);
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        return std::string(boost::json::parse(response.body).as_object().at("state").as_string());
    }

    /** Queries a job every 20 ms until the daemon reports the given state. */
    void awaitState(std::size_t daemon, const std::string &path, const std::string &state)
    {
        while (stateOf(daemon, path) != state) {
            boost::asio::steady_timer timer(io, Milliseconds{20});
            bool isElapsed = false;
            timer.async_wait([&isElapsed](const boost::system::error_code &) { isElapsed = true; });
            runUntil(io, [&isElapsed] { return isElapsed; });
        }
    }

    /** Submits a job; retries while the response has status 503, which means that the job was not accepted. */
    void submit(std::size_t daemon, const std::string &path, const std::string &body)
    {
        while (call(daemon, HttpMethod::Post, path, body).status == 503) { }
    }

    boost::asio::io_context io;
    HttpClient client{io};
    standin::PlatformStandin standin;
    std::vector<std::string> frontAddresses;
    std::vector<std::string> metricsAddresses;
    std::vector<std::unique_ptr<platform::EntryDaemon>> daemons;
    std::string key = "red key"; ///< API key of all calls.
    int failedStarts = 0; ///< Daemons that could not bind a port.
};

constexpr const char *jobPath = "/q/00000000000000a1";

} // namespace

class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(readsNumbersOutOfRange);
    CPPUNIT_TEST(boundsDurationsAndTimesOfAJob);
    CPPUNIT_TEST(runsAJobOfTwoSteps);
    CPPUNIT_TEST(rejectsUnknownNamesAndMalformedJobs);
    CPPUNIT_TEST(failsJobsThatFailOnEveryWorker);
    CPPUNIT_TEST(storesOnceWhenResponsesAreLost);
    CPPUNIT_TEST(sendsRetryAfterWhileTheStoreIsBusy);
    CPPUNIT_TEST(ignoresMalformedRecords);
    CPPUNIT_TEST(limitsTheSizeOfReads);
    CPPUNIT_TEST(servesMetrics);
    CPPUNIT_TEST(decodesJobs);
    CPPUNIT_TEST(decodesWorkers);
    CPPUNIT_TEST(parsesNamesOfTasks);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Counts beyond 32 bits were cut off, so that a job of over four thousand million tasks became one of five. */
    void readsNumbersOutOfRange()
    {
        const auto countOf = [](std::string_view number) {
            const auto spec = platform::decodeJob(fmt::format(R"({{"spec":"text","steps":[{{"count":{}}}]}})", number));
            CPPUNIT_ASSERT(spec.has_value());
            return spec->steps.at(0).count;
        };
        constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, countOf("5"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, countOf("5.9"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, countOf("-5"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, countOf("\"5\""));
        CPPUNIT_ASSERT_EQUAL(largest, countOf("4294967301"));
        CPPUNIT_ASSERT_EQUAL(largest, countOf("1e300"));
        CPPUNIT_ASSERT_EQUAL(largest, countOf("18446744073709551615"));
        const auto spec =
            platform::decodeJob(R"({"spec":"text","steps":[{"count":1,"cpu":1e300,"estRuntimeMs":-1e300}]})");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, spec->steps.at(0).perTask.cpuMilli);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, static_cast<std::int64_t>(spec->steps.at(0).runEstimate.count()));
    }

    /** Durations and times of a job near the largest integer overflowed when they were added or multiplied. */
    void boundsDurationsAndTimesOfAJob()
    {
        const auto spec = platform::decodeJob(
            R"({"spec":"text","steps":[{"count":2,"cpu":9223372036854775807,"memMb":-5,"estRuntimeMs":9223372036854775807}],
                "repetitions":100000,"firstRunMs":9223372036854775807,"intervalMs":9223372036854775807})");
        CPPUNIT_ASSERT(spec.has_value());
        constexpr std::int64_t far = std::int64_t{1} << 60;
        CPPUNIT_ASSERT(spec->steps[0].runEstimate.count() > 0 && spec->steps[0].runEstimate.count() < far / 1'000'000);
        CPPUNIT_ASSERT(spec->steps[0].perTask.cpuMilli > 0 && spec->steps[0].perTask.cpuMilli < far / 100'000);
        CPPUNIT_ASSERT(spec->steps[0].perTask.memoryMb < 0);
        CPPUNIT_ASSERT((spec->repetition.firstAt + spec->repetition.interval * 100'000).count() < far);
    }

    void runsAJobOfTwoSteps()
    {
        PlatformFixture fixture(2);
        fixture.submit(0, jobPath, jobText);
        fixture.awaitState(1, jobPath, "completed");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.standin.startsOf({0xa1, 0, 0, 2}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.standin.startsOf({0xa1, 0, 1, 1}));
        CPPUNIT_ASSERT(fixture.standin.adviceRequests >= 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.standin.rejectedTickets);
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call(1, HttpMethod::Post, jobPath, jobText).status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"waiting":0})"), fixture.call(0, HttpMethod::Get, "/q/").body);
    }

    void rejectsUnknownNamesAndMalformedJobs()
    {
        PlatformFixture fixture(1);
        fixture.submit(0, jobPath, jobText);
        CPPUNIT_ASSERT_EQUAL(404U, fixture.call(0, HttpMethod::Post, "/other/00000000000000a2", jobText).status);
        CPPUNIT_ASSERT_EQUAL(410U, fixture.call(0, HttpMethod::Get, "/q/00000000000000a2").status);
        CPPUNIT_ASSERT_EQUAL(410U, fixture.call(0, HttpMethod::Delete, "/q/00000000000000a2").status);
        CPPUNIT_ASSERT_EQUAL(400U, fixture.call(0, HttpMethod::Post, "/q/00000000000000a2", "{\"steps\":3}").status);
        fixture.key = "no key";
        CPPUNIT_ASSERT_EQUAL(401U, fixture.call(0, HttpMethod::Post, "/q/00000000000000a2", jobText).status);
    }

    void failsJobsThatFailOnEveryWorker()
    {
        PlatformFixture fixture(2);
        fixture.standin.failingWorkers = {"i-0", "i-1"};
        fixture.submit(0, jobPath, jobText);
        fixture.awaitState(1, jobPath, "failed");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.standin.startsOf({0xa1, 0, 1, 0}));
    }

    void storesOnceWhenResponsesAreLost()
    {
        PlatformFixture fixture(2);
        fixture.submit(1, jobPath, jobText);
        fixture.standin.fault = standin::StoreFault::LosesResponses;
        CPPUNIT_ASSERT_EQUAL(504U, fixture.call(1, HttpMethod::Post, "/q/00000000000000a2", jobText).status);
        fixture.standin.fault = standin::StoreFault::None;
        fixture.awaitState(0, "/q/00000000000000a2", "completed");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.standin.startsOf({0xa2, 0, 0, 0}));
    }

    void sendsRetryAfterWhileTheStoreIsBusy()
    {
        PlatformFixture fixture(1);
        fixture.submit(0, jobPath, jobText);
        fixture.standin.fault = standin::StoreFault::Busy;
        const auto response = fixture.call(0, HttpMethod::Post, "/q/00000000000000a2", jobText);
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT(!fieldValue(response.fields, "Retry-After").empty());
        fixture.standin.fault = standin::StoreFault::None;
        fixture.awaitState(0, jobPath, "completed");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.standin.startsOf({0xa2, 0, 0, 0}));
    }

    void ignoresMalformedRecords()
    {
        PlatformFixture fixture(1);
        fixture.standin.put("keyed.servers", "i-x", "not json");
        fixture.standin.put("keyed.servers", "i-y", R"({"service":"pool","address":7,"state":"resting"})");
        fixture.standin.put("keyed.op", "config", "{");
        fixture.standin.put("keyed.op", "unknown", "{}");
        fixture.standin.put("keyed.flamingotally", "p0", "garbage");
        fixture.submit(0, jobPath, jobText);
        fixture.awaitState(1, jobPath, "completed");
    }

    void limitsTheSizeOfReads()
    {
        boost::asio::io_context io;
        HttpClient client(io);
        standin::PlatformStandin standin(io, 0);
        for (int n = 0; n < 4; ++n) {
            standin.put("keyed.t", fmt::format("k{}", n), std::string(20'000, 'x'));
        }
        platform::StoreClient store(client, standin.storeAddress(), [] { return std::vector<std::string>{}; });
        std::optional<platform::StoreRead> response;
        store.read("keyed.t", 0, Milliseconds{0}, 32, [&](const platform::StoreRead &read) { response = read; });
        runUntil(io, [&] { return response.has_value(); });
        CPPUNIT_ASSERT(response->result == platform::StoreResult::Done);
        CPPUNIT_ASSERT(!response->complete);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, response->nextOffset);
        store.read("keyed.t", 3, Milliseconds{0}, 32, [&](const platform::StoreRead &read) { response = read; });
        runUntil(io, [&] { return response->nextOffset == 4; });
        CPPUNIT_ASSERT(response->complete);
        platform::ReadSize size;
        const auto first = size.kilobytes();
        size.adapt(platform::StoreResult::Unknown);
        CPPUNIT_ASSERT(size.kilobytes() < first);
        size.adapt(platform::StoreResult::Done);
        CPPUNIT_ASSERT_EQUAL(first, size.kilobytes());
    }

    void servesMetrics()
    {
        PlatformFixture fixture(1);
        fixture.submit(0, jobPath, jobText);
        HttpCall call;
        call.address = fixture.metricsAddresses[0];
        call.target = "/metrics";
        const auto result = callAndWait(fixture.io, fixture.client, std::move(call));
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT(result->body.find("flamingotally_accepted_jobs_total 1") != std::string::npos);
    }

    void decodesJobs()
    {
        const auto spec = platform::decodeJob(jobText);
        CPPUNIT_ASSERT(spec.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, spec->steps.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, spec->steps[0].perTask.cpuMilli);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, spec->steps[1].after.front());
        for (const char *bad : {"", "[]", "{}", R"({"steps":[1]})", R"({"steps":"x"})", "{\"steps\":[{]}"}) {
            CPPUNIT_ASSERT(!platform::decodeJob(bad).has_value());
        }
    }

    void decodesWorkers()
    {
        const auto worker = platform::decodeWorker(
            "i-1",
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining","remainingMs":900,"born":5,
                "capacity":{"cpu":1000,"memMb":2,"gpu":1},"labels":["a","r1"],"newField":[]})");
        CPPUNIT_ASSERT(worker.ok());
        CPPUNIT_ASSERT(worker->draining && worker->remaining == Milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), worker->rack);
        CPPUNIT_ASSERT(!platform::decodeWorker("i-1", R"({"address":"10.0.0.1:80","state":"ready"})").ok());
        CPPUNIT_ASSERT(!platform::decodeConfiguration(R"({"routes":[]})").has_value());
    }

    void parsesNamesOfTasks()
    {
        const TaskName task{0x5c0e7a21d94b36f8, 3, 1, 17};
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.3.1.17"), platform::formatTask(task));
        CPPUNIT_ASSERT(platform::parseTask("5c0e7a21d94b36f8.3.1.17") == std::optional(task));
        for (const char *bad : {"", "5c.1.2", "5c.1.2.x", "xx.1.2.3", "5c.1.2.3.4"}) {
            CPPUNIT_ASSERT(!platform::parseTask(bad).has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);
