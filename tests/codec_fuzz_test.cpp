/** @file codec_fuzz_test.cpp Tests that encoded messages decode to the same values and that malformed bytes give
 * errors. */
#include "codec/cereal_codec.h"
#include "codec/log_codec.h"
#include "codec/message_auth.h"
#include "codec/worker_codec.h"
#include "command_func.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace flamingotally;

namespace
{

/** Replaces up to three bytes of a message and truncates one message in three. */
std::string corrupt(std::string bytes)
{
    const auto flips = *rc::gen::inRange(0, 4);
    for (int n = 0; n < flips && !bytes.empty(); ++n) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    if (*rc::gen::inRange(0, 3) == 0) {
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    }
    return bytes;
}

Batch sampleBatch()
{
    Batch batch;
    batch.daemon = "a";
    batch.sequence = 3;
    batch.commands.emplace_back(LeaveDaemon{"b", 3, true});
    SubmitJob submit;
    submit.payload = "payload";
    submit.placements.push_back({1, {2, 3}});
    batch.commands.emplace_back(submit);
    batch.commands.emplace_back(EndAttempts{{{7, Outcome::Succeeded, {"body", 4, 5, ""}}}});
    return batch;
}

WorkerSync sampleSync()
{
    WorkerSync sync;
    sync.bootId = UINT64_MAX;
    sync.ackedReport = 4;
    sync.wait = Milliseconds{3'000};
    StartOrder start;
    start.attempt = 9;
    start.request = makeRequestId(WallTime{Milliseconds{1'796'000'000'000}}, 1, 2);
    start.payload = "{\"text\":\"a\\nb\"}";
    start.leaseUntil = WorkerTime{Milliseconds{12}};
    sync.starts.push_back(start);
    sync.renewals.push_back({5, WorkerTime{Milliseconds{6}}});
    StopOrder stop;
    stop.attempt = 8;
    stop.cause = StopCause::Preempted;
    stop.checkpoint = true;
    sync.stops.push_back(stop);
    return sync;
}

WorkerReport sampleReport()
{
    WorkerReport report;
    report.worker = "w";
    report.bootId = 17;
    report.total = {1, 2, 3};
    report.clock = WorkerTime{Milliseconds{-5}};
    report.ends.push_back({2, {4, Outcome::Checkpointed, {"result", 6, UINT64_MAX, ""}}});
    report.active = {1, 2};
    report.usage.push_back({1, {4, 5, 6}});
    return report;
}

} // namespace

class CodecFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecFuzzTest);
    CPPUNIT_TEST(syncRoundTrips);
    CPPUNIT_TEST(reportRoundTrips);
    CPPUNIT_TEST(hostsRoundTrip);
    CPPUNIT_TEST(rejectsLengthBeyondMessage);
    CPPUNIT_TEST(rejectsUnknownEnumerator);
    CPPUNIT_TEST(verifiesAuthenticationCode);
    CPPUNIT_TEST(corruptedMessagesDecodeOrFail);
    CPPUNIT_TEST(corruptedBatchesApplyOrAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void syncRoundTrips()
    {
        const auto text = encodeWorkerSync(sampleSync());
        const auto read = decodeWorkerSync(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(text, encodeWorkerSync(*read));
        CPPUNIT_ASSERT(read->starts.at(0).request == sampleSync().starts.at(0).request);
        CPPUNIT_ASSERT(read->stops.at(0).cause == StopCause::Preempted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{UINT64_MAX}, read->bootId);
    }

    void reportRoundTrips()
    {
        const auto text = encodeWorkerReport(sampleReport());
        const auto read = decodeWorkerReport(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(text, encodeWorkerReport(*read));
        CPPUNIT_ASSERT_EQUAL(std::string("result"), read->ends.at(0).end.result.body);
        CPPUNIT_ASSERT(read->clock == sampleReport().clock);
    }

    void hostsRoundTrip()
    {
        HostRow row;
        row.name = "h";
        row.address = "127.0.0.1:1";
        row.role = HostRole::Entry;
        row.leaving = true;
        const auto read = decodeHostList(encodeHostList({row}));
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(read->at(0).role == HostRole::Entry);
        CPPUNIT_ASSERT(read->at(0).leaving);
    }

    void rejectsLengthBeyondMessage()
    {
        auto bytes = encodeLogPage({1, 0, {}});
        for (std::size_t n = bytes.size() - 8; n < bytes.size() - 2; ++n) {
            bytes[n] = '\x7f';
        }
        CPPUNIT_ASSERT(!decodeLogPage(bytes).ok());
    }

    void rejectsUnknownEnumerator()
    {
        Batch batch;
        batch.commands.emplace_back(EndAttempts{{{7, Outcome::End, {}}}});
        CPPUNIT_ASSERT(!decodeBatch(encodeBatch(batch)).ok());
    }

    void verifiesAuthenticationCode()
    {
        const auto message = signMessage("secret", PeerMessage::Heartbeat, "body");
        CPPUNIT_ASSERT_EQUAL(std::string("body"),
                             std::string(verifyMessage("secret", PeerMessage::Heartbeat, message).value_or("")));
        CPPUNIT_ASSERT(!verifyMessage("other", PeerMessage::Heartbeat, message));
        CPPUNIT_ASSERT(!verifyMessage("secret", PeerMessage::RecordPage, message));
        const bool passed = rc::check("a corrupted message fails verification", [&message] {
            const auto bytes = corrupt(message);
            RC_PRE(bytes != message);
            RC_ASSERT(!verifyMessage("secret", PeerMessage::Heartbeat, bytes));
        });
        CPPUNIT_ASSERT(passed);
    }

    void corruptedMessagesDecodeOrFail()
    {
        const bool passed = rc::check("decoding a corrupted message gives an error or a message", [] {
            const LogPage page{3, 1, {{1, {}, "first"}, {2, {}, "second"}}};
            static_cast<void>(decodeLogPage(corrupt(encodeLogPage(page))));
            static_cast<void>(decodeHeartbeat(corrupt(encodeHeartbeat({}))));
            static_cast<void>(decodeRecordRequest(corrupt(encodeRecordRequest(7))));
            static_cast<void>(decodeWorkerSync(corrupt(encodeWorkerSync(sampleSync()))));
            static_cast<void>(decodeWorkerReport(corrupt(encodeWorkerReport(sampleReport()))));
            static_cast<void>(decodeHostList(corrupt(encodeHostList({HostRow{}}))));
            static_cast<void>(decodeTables(corrupt(encodeTables({}))));
        });
        CPPUNIT_ASSERT(passed);
    }

    void corruptedBatchesApplyOrAreRejected()
    {
        const bool passed = rc::check("a corrupted batch is applied or rejected", [] {
            const auto batch = decodeBatch(corrupt(encodeBatch(sampleBatch())));
            if (batch.ok()) {
                Tables tables;
                applyEntry(tables, {0, {}, *batch, EntryState::Readable});
            }
        });
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecFuzzTest);
