/** @file journal_codec_test.cpp Encoding and decoding of journal records. */
#include "codec/cereal_func.h"
#include "dispatch/codec/journal_codec.h"
#include "dispatch/codec/progress_columns.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace flamingotally;
using namespace flamingotally::dispatch;

namespace
{

TaskProgress arbitraryTask()
{
    TaskProgress task;
    task.phase = static_cast<TaskPhase>(*rc::gen::inRange(0, static_cast<int>(TaskPhase::End)));
    task.failures = *rc::gen::inRange(0, 4);
    task.run = *rc::gen::inRange(0, 4);
    task.worker = *rc::gen::element<std::string>("", "i-1", "i-22");
    task.checkpoint = *rc::gen::element<std::string>("", "saved");
    task.crashWeight = *rc::gen::element<std::uint32_t>(0, 0, 0, 2);
    return task;
}

bool isSame(const TaskProgress &a, const TaskProgress &b)
{
    return a.phase == b.phase && a.failures == b.failures && a.run == b.run && a.worker == b.worker
        && a.checkpoint == b.checkpoint && a.crashWeight == b.crashWeight;
}

/** Checks that an accepted job decodes to the same values. Returns the size of its encoded value in bytes. */
std::size_t assertRoundTrip(const AcceptedRecord &record)
{
    const auto rows = encodeJournalRecord(record);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
    const auto read = decodeJournalRecord(rows[0].key, rows[0].value);
    CPPUNIT_ASSERT(read.ok());
    const auto &copy = std::get<AcceptedRecord>(*read);
    CPPUNIT_ASSERT_EQUAL(record.job, copy.job);
    CPPUNIT_ASSERT(
        std::ranges::equal(record.spec.steps, copy.spec.steps, {}, &StepSpec::requiredLabel, &StepSpec::requiredLabel));
    CPPUNIT_ASSERT(std::ranges::equal(record.spec.steps, copy.spec.steps, {}, &StepSpec::after, &StepSpec::after));
    return rows[0].value.size();
}

} // namespace

class JournalCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JournalCodecTest);
    CPPUNIT_TEST(progressRoundTrips);
    CPPUNIT_TEST(emptyListsRoundTrip);
    CPPUNIT_TEST(doneTaskTakesOneByte);
    CPPUNIT_TEST(compressesLongProgress);
    CPPUNIT_TEST(storesCrashesOnlyWhereThereAreAny);
    CPPUNIT_TEST(jobOfTheLongestRequestFitsIntoARecord);
    CPPUNIT_TEST(rejectsRowsOfMissingTasksAndUnknownPhases);
    CPPUNIT_TEST(corruptedProgressDecodesOrFails);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a copy to a null pointer, which a build with sanitizers reports.
    void emptyListsRoundTrip()
    {
        const auto numbers =
            decodeValue<std::vector<std::uint32_t>>(encodeValue(std::vector<std::uint32_t>()), Step::End);
        CPPUNIT_ASSERT(numbers.ok() && numbers->empty());
        const auto text = decodeValue<std::string>(encodeValue(std::string()), Step::End);
        CPPUNIT_ASSERT(text.ok() && text->empty());
    }

    void progressRoundTrips()
    {
        CPPUNIT_ASSERT(rc::check("an encoded progress record decodes to the same values", [] {
            ProgressRecord record;
            record.job = *rc::gen::arbitrary<JobId>();
            record.occurrence = *rc::gen::inRange(0, 5);
            record.begun = *rc::gen::arbitrary<bool>();
            record.outcome = OccurrenceOutcome::Failed;
            const auto n = *rc::gen::inRange(0, 40);
            for (int task = 0; task < n; ++task) {
                record.tasks.push_back(arbitraryTask());
            }
            const auto rows = encodeJournalRecord(record);
            RC_ASSERT(rows.size() == 1);
            const auto read = decodeJournalRecord(rows[0].key, rows[0].value);
            RC_ASSERT(read.ok());
            const auto &copy = std::get<ProgressRecord>(*read);
            RC_ASSERT(copy.job == record.job && copy.occurrence == record.occurrence);
            RC_ASSERT(copy.begun == record.begun && copy.outcome == record.outcome);
            RC_ASSERT(std::ranges::equal(copy.tasks, record.tasks, isSame));
        }));
    }

    /** The store refused the record of an accepted job of many steps, and with it the batches of each owner in turn. */
    void jobOfTheLongestRequestFitsIntoARecord()
    {
        constexpr std::size_t longestRecord = 262'144;
        constexpr std::size_t shortestStep = 13; // {"count":1}, in a request of at most as many bytes as a record
        constexpr std::size_t textBytes = 200;
        AcceptedRecord record;
        record.job = 7;
        record.spec.steps.resize(longestRecord / shortestStep);
        CPPUNIT_ASSERT(assertRoundTrip(record) < longestRecord);
        record.spec.steps.resize(longestRecord / (textBytes + shortestStep));
        std::uint64_t state = 1;
        for (auto &step : record.spec.steps) {
            for (std::size_t n = 0; n < textBytes; ++n) { // texts that cannot be compressed
                state = state * 6'364'136'223'846'793'005ULL + 1;
                step.requiredLabel.push_back(static_cast<char>(state >> 56));
            }
            step.after = {0};
        }
        CPPUNIT_ASSERT(assertRoundTrip(record) < longestRecord);
    }

    void doneTaskTakesOneByte()
    {
        ProgressRecord record;
        record.tasks.resize(10, {TaskPhase::Done, 0, 1, {}, {}});
        const auto sizeForTen = encodeJournalRecord(record)[0].value.size();
        record.tasks.resize(30, {TaskPhase::Done, 0, 1, {}, {}});
        CPPUNIT_ASSERT_EQUAL(sizeForTen + 20, encodeJournalRecord(record)[0].value.size());
    }

    /** Records of placed tasks, with worker ids as hexadecimal digits, take at most two thirds of their plain size. */
    void compressesLongProgress()
    {
        ProgressRecord record;
        for (std::uint64_t n = 0; n < 40; ++n) {
            constexpr std::uint64_t spread = 0x9e3779b97f4a7c15; // makes digits that do not repeat
            record.tasks.push_back({TaskPhase::Placed, 0, 1, fmt::format("w-{:010x}", (n * spread) >> 24U), {}});
        }
        const auto value = encodeJournalRecord(record)[0].value;
        CPPUNIT_ASSERT(value.size() * 3 < encodeValue(columnsOf(record)).size() * 2);
        const auto read = decodeJournalRecord(encodeJournalRecord(record)[0].key, value);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(std::ranges::equal(std::get<ProgressRecord>(*read).tasks, record.tasks, isSame));
        CPPUNIT_ASSERT(!decodeJournalRecord("p", value.substr(0, value.size() / 2)).ok());
    }

    /** Records without crashes are stored as before crashes were counted, so either version reads those of the other.
     */
    void storesCrashesOnlyWhereThereAreAny()
    {
        ProgressRecord record;
        record.tasks.push_back({TaskPhase::Waiting, 1, 2, {}, {}, 0});
        CPPUNIT_ASSERT(encodeJournalRecord(record)[0].value == encodeValue(columnsOf(record)));
        record.tasks.push_back({TaskPhase::Waiting, 0, 2, {}, {}, 2});
        const auto rows = encodeJournalRecord(record);
        CPPUNIT_ASSERT(rows[0].value != encodeValue(columnsOf(record)));
        const auto read = decodeJournalRecord(rows[0].key, rows[0].value);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(std::ranges::equal(std::get<ProgressRecord>(*read).tasks, record.tasks, isSame));
    }

    void rejectsRowsOfMissingTasksAndUnknownPhases()
    {
        ProgressColumns columns;
        columns.phases.push_back(static_cast<char>(TaskPhase::Done));
        CPPUNIT_ASSERT(recordOf(columns).ok());
        columns.saved.push_back({1, "saved"});
        CPPUNIT_ASSERT(!recordOf(columns).ok());
        columns.saved.clear();
        columns.phases.push_back(static_cast<char>(TaskPhase::End));
        CPPUNIT_ASSERT(!recordOf(columns).ok());
    }

    void corruptedProgressDecodesOrFails()
    {
        CPPUNIT_ASSERT(rc::check("decoding a corrupted progress record gives an error or a progress record", [] {
            ProgressRecord record;
            record.tasks.push_back(arbitraryTask());
            record.tasks.push_back(arbitraryTask());
            auto row = encodeJournalRecord(record)[0];
            const auto index = *rc::gen::inRange<std::size_t>(0, row.value.size());
            row.value[index] = *rc::gen::arbitrary<char>();
            const auto read = decodeJournalRecord(row.key, row.value);
            const bool isErrorOrProgress = !read.ok() || std::holds_alternative<ProgressRecord>(*read);
            RC_ASSERT(isErrorOrProgress);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalCodecTest);
