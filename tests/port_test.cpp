/** @file port_test.cpp Tests of a daemon's ports against the platform stand-in, over real sockets. */
#include "codec/cereal_codec.h"
#include "net/host_list_client.h"
#include "net/log_client.h"
#include "net/peer_channel.h"
#include "net/tick_loop.h"
#include "net/worker_client.h"
#include "net_fixture.h"
#include "standin_front.h"
#include "standin_systems.h"

#include <boost/asio/ip/udp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace flamingotally;

namespace
{

constexpr std::size_t ringBytes = 1024 * 1024; ///< Size of the cache of newest records.

/** The platform stand-in with one worker, and the ports of one daemon that call it. */
struct PortFixture {
    PortFixture()
    {
        CPPUNIT_ASSERT(platformServer.listen(anyLoopbackPort).ok());
        CPPUNIT_ASSERT(workerServer.listen(anyLoopbackPort).ok());
        standin.faults.appendLatency = Milliseconds{1};
        HostRow row;
        row.name = "worker-1";
        row.address = workerServer.address();
        row.domain = "north";
        standin::addWorker(standin, row, {4'000, 1'024, 1}, {clock.now(), clock.wallNow()});
        settings.logAddress = platformServer.address();
        settings.hostListAddress = platformServer.address();
        settings.clusterSecret = "secret";
        loop.wake();
    }

    /** Runs a tick of the stand-in and returns the time of the next tick. */
    MonotonicTime runTick()
    {
        standin::tick(standin, {clock.now(), clock.wallNow()});
        front.deliver();
        return standin.nextWake;
    }

    /** Runs the io_context until a list of the inbox has an item. */
    template<typename Items>
    void await(const Items &items)
    {
        runUntil(io, [&items] { return !items.empty(); });
    }

    /** Appends a batch to the log and returns the outcome that the port reports. */
    AppendOutcome append(const Batch &batch)
    {
        log.append(batch);
        await(inbox.appendResponses);
        const auto outcome = inbox.appendResponses.front().outcome;
        inbox.appendResponses.clear();
        return outcome;
    }

    /** Reads the log from an offset on and returns what the port delivers. */
    LogRead read(std::uint64_t from)
    {
        log.readFrom(from);
        await(inbox.logReads);
        auto read = std::move(inbox.logReads.front());
        inbox.logReads.clear();
        return read;
    }

    /** Sends a sync request to the worker and returns the worker's report. */
    WorkerReport sync(WorkerSync sync)
    {
        sync.worker = "worker-1";
        sync.address = workerServer.address();
        workers.sync(sync);
        await(inbox.workerReports);
        auto report = std::move(inbox.workerReports.front());
        inbox.workerReports.clear();
        return report;
    }

    boost::asio::io_context io{1};
    SystemClock clock;
    standin::Standin standin;
    TickLoop loop{io, [this] {
                      return runTick();
                  }};
    standin::StandinFront front{standin, [this] {
                                    loop.wake();
                                }};
    HttpServer platformServer{io, {}, [this](HttpRequest request, const HttpResponder &responder) {
                                  front.handlePlatform(std::move(request), responder);
                              }};
    HttpServer workerServer{io, {}, [this](HttpRequest request, const HttpResponder &responder) {
                                front.handleWorker(0, std::move(request), responder);
                            }};
    HttpClient http{io};
    Settings settings;
    Inbox inbox;
    Counters counters;
    RecordRing records{ringBytes};
    PortContext context{http, settings, inbox, counters, records, clock, [] {
                        }};
    HttpLogClient log{context};
    HttpWorkerClient workers{context};
    HttpHostList hosts{context};
    AsioPeerChannel peers{io, context};
};

Batch sampleBatch(std::uint64_t sequence)
{
    Batch batch;
    batch.daemon = "a";
    batch.incarnation = 7;
    batch.sequence = sequence;
    batch.commands.emplace_back(LeaveDaemon{"b", 3, true});
    return batch;
}

} // namespace

class PortTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PortTest);
    CPPUNIT_TEST(batchIsReadBack);
    CPPUNIT_TEST(readWaitsForTheNextRecord);
    CPPUNIT_TEST(lostResponseMeansUnknownOutcome);
    CPPUNIT_TEST(refusedAppendIsReportedAsRefused);
    CPPUNIT_TEST(unreachableLogRefusesAppendsAndFailsReads);
    CPPUNIT_TEST(recordWithoutBatchIsMalformed);
    CPPUNIT_TEST(taskRunsAndItsEndIsReportedUntilAcknowledged);
    CPPUNIT_TEST(reportOfAnotherWorkerIsRejected);
    CPPUNIT_TEST(hostsAreListed);
    CPPUNIT_TEST(heartbeatArrives);
    CPPUNIT_TEST(forgedHeartbeatIsCounted);
    CPPUNIT_TEST(recordsAreFetchedFromAPeer);
    CPPUNIT_TEST(forgedRecordRequestGetsNoResponse);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fixture = std::make_unique<PortFixture>();
    }

    void tearDown() override
    {
        m_fixture.reset();
    }

    void batchIsReadBack()
    {
        CPPUNIT_ASSERT(m_fixture->append(sampleBatch(1)) == AppendOutcome::Stored);
        const auto read = m_fixture->read(0);
        CPPUNIT_ASSERT(!read.failed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, read.head);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.entries.size());
        const auto &entry = read.entries.front();
        CPPUNIT_ASSERT(entry.state == EntryState::Readable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, entry.batch.incarnation);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), std::get<LeaveDaemon>(entry.batch.commands.at(0)).name);
    }

    void readWaitsForTheNextRecord()
    {
        m_fixture->settings.logPoll = Milliseconds{60'000};
        m_fixture->log.readFrom(0);
        CPPUNIT_ASSERT(m_fixture->append(sampleBatch(1)) == AppendOutcome::Stored);
        m_fixture->await(m_fixture->inbox.logReads);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture->inbox.logReads.front().entries.size());
    }

    void lostResponseMeansUnknownOutcome()
    {
        m_fixture->standin.faults.loseAppendAnswers = 1;
        CPPUNIT_ASSERT(m_fixture->append(sampleBatch(1)) == AppendOutcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture->read(0).entries.size());
    }

    void refusedAppendIsReportedAsRefused()
    {
        m_fixture->standin.faults.logOutage = standin::LogOutage::Refusing;
        CPPUNIT_ASSERT(m_fixture->append(sampleBatch(1)) == AppendOutcome::Refused);
        CPPUNIT_ASSERT(m_fixture->read(0).failed);
    }

    void unreachableLogRefusesAppendsAndFailsReads()
    {
        m_fixture->platformServer.close();
        CPPUNIT_ASSERT(m_fixture->append(sampleBatch(1)) == AppendOutcome::Refused);
        CPPUNIT_ASSERT(m_fixture->read(0).failed);
    }

    void recordWithoutBatchIsMalformed()
    {
        m_fixture->standin.log.records.push_back(
            {0, LogTime{m_fixture->clock.wallNow().time_since_epoch()}, "no batch"});
        m_fixture->standin.log.head = 1;
        const auto read = m_fixture->read(0);
        CPPUNIT_ASSERT(read.entries.at(0).state == EntryState::Malformed);
    }

    void taskRunsAndItsEndIsReportedUntilAcknowledged()
    {
        const auto first = m_fixture->sync({});
        WorkerSync startSync;
        startSync.bootId = first.bootId;
        startSync.starts.push_back({.attempt = 5,
                                    .request = makeRequestId(m_fixture->clock.wallNow(), 1, 2),
                                    .reserved = {1'000, 10, 0},
                                    .payload = R"({"runMs":0,"result":"whole"})",
                                    .notAfter = first.clock + Milliseconds{60'000},
                                    .leaseUntil = first.clock + Milliseconds{60'000}});
        m_fixture->sync(startSync);
        WorkerSync poll;
        poll.bootId = first.bootId;
        const auto report = m_fixture->sync(poll);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.ends.size());
        CPPUNIT_ASSERT(report.ends.front().end.outcome == Outcome::Succeeded);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), report.ends.front().end.result.body);
        m_fixture->sync(startSync);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture->standin.journal.size());
        poll.ackedReport = report.ends.front().report;
        CPPUNIT_ASSERT(m_fixture->sync(poll).ends.empty());
    }

    void reportOfAnotherWorkerIsRejected()
    {
        m_fixture->standin.hosts.get<HostRow>(m_fixture->standin.workers.front()).name = "other";
        const auto report = m_fixture->sync({});
        CPPUNIT_ASSERT(report.failed);
        CPPUNIT_ASSERT_EQUAL(std::string("worker-1"), report.worker);
    }

    void hostsAreListed()
    {
        m_fixture->hosts.readHosts();
        m_fixture->await(m_fixture->inbox.hostLists);
        const auto &hosts = m_fixture->inbox.hostLists.front().hosts;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("north"), hosts.front().domain);
    }

    void heartbeatArrives()
    {
        CPPUNIT_ASSERT(m_fixture->peers.listen(anyLoopbackPort).ok());
        Heartbeat heartbeat;
        heartbeat.daemon = "a";
        heartbeat.head = 42;
        m_fixture->peers.sendHeartbeat(m_fixture->peers.address(), heartbeat);
        m_fixture->await(m_fixture->inbox.heartbeats);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, m_fixture->inbox.heartbeats.front().heartbeat.head);
    }

    void forgedHeartbeatIsCounted()
    {
        using boost::asio::ip::udp;
        CPPUNIT_ASSERT(m_fixture->peers.listen(anyLoopbackPort).ok());
        udp::socket socket(m_fixture->io, udp::v4());
        const auto target = *parseEndpoint<udp::endpoint>(m_fixture->peers.address());
        const auto forged = std::string(32, 'x') + encodeHeartbeat({});
        socket.send_to(boost::asio::buffer(forged), target);
        runUntil(m_fixture->io, [this] { return m_fixture->counters.heartbeatsDropped == 1; });
        CPPUNIT_ASSERT(m_fixture->inbox.heartbeats.empty());
    }

    void recordsAreFetchedFromAPeer()
    {
        CPPUNIT_ASSERT(m_fixture->peers.listen(anyLoopbackPort).ok());
        m_fixture->append(sampleBatch(1));
        m_fixture->append(sampleBatch(2));
        m_fixture->read(0);
        m_fixture->peers.fetchRecords(m_fixture->peers.address(), 1);
        m_fixture->await(m_fixture->inbox.peerReads);
        const auto &entries = m_fixture->inbox.peerReads.front().entries;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entries.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, entries.front().batch.sequence);
    }

    void forgedRecordRequestGetsNoResponse()
    {
        CPPUNIT_ASSERT(m_fixture->peers.listen(anyLoopbackPort).ok());
        RawClient caller(m_fixture->io, m_fixture->peers.address());
        caller.send(std::string("\0\0\0\x40", 4) + std::string(64, 'x'));
        CPPUNIT_ASSERT(caller.readToEnd().empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_fixture->counters.heartbeatsDropped);
    }

private:
    std::unique_ptr<PortFixture> m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PortTest);
