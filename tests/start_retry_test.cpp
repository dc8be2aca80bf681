/** @file start_retry_test.cpp When a failed step of a start is tried again, and when a settings file is taken as it is.
 */
#include "net/settings_file.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

namespace
{

constexpr MonotonicTime begin{Milliseconds{1'000'000}};

absl::StatusOr<std::string> missing()
{
    return absl::NotFoundError("no such file");
}

/** Tries with the same content until the wait is over; returns how long that takes. */
Milliseconds waitFor(SettingsFileWait &wait, const absl::StatusOr<std::string> &content, MonotonicTime from = begin)
{
    auto now = from;
    while (const auto pause = wait.pauseAfter(content, now)) {
        now += *pause;
    }
    return now - from;
}

} // namespace

class StartRetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartRetryTest);
    CPPUNIT_TEST(pausesGrowAndEndAtTheLimit);
    CPPUNIT_TEST(limitOfZeroAllowsOneTry);
    CPPUNIT_TEST(processThatWasPausedTriesOnceMore);
    CPPUNIT_TEST(statesOfSettingsFiles);
    CPPUNIT_TEST(wholeFileIsTakenAtOnce);
    CPPUNIT_TEST(missingFileIsAwaitedForFiveSeconds);
    CPPUNIT_TEST(unchangedFileIsFinal);
    CPPUNIT_TEST(changingFileIsAwaited);
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

    void statesOfSettingsFiles()
    {
        CPPUNIT_ASSERT(settingsFileState(missing()) == SettingsFileState::Unreadable);
        CPPUNIT_ASSERT(settingsFileState(std::string()) == SettingsFileState::Empty);
        CPPUNIT_ASSERT(settingsFileState(std::string(" \n")) == SettingsFileState::Empty);
        CPPUNIT_ASSERT(settingsFileState(std::string("memoryMb = 26")) == SettingsFileState::NotEnded);
        CPPUNIT_ASSERT(settingsFileState(std::string("name = 'd")) == SettingsFileState::Malformed);
        CPPUNIT_ASSERT(settingsFileState(std::string("memoryMb = 260\n")) == SettingsFileState::Whole);
    }

    void wholeFileIsTakenAtOnce()
    {
        SettingsFileWait wait(1);
        CPPUNIT_ASSERT(waitFor(wait, std::string("memoryMb = 260\n")) == Milliseconds::zero());
    }

    void missingFileIsAwaitedForFiveSeconds()
    {
        SettingsFileWait wait(1);
        CPPUNIT_ASSERT(waitFor(wait, missing()) == Milliseconds{5'000});
    }

    void unchangedFileIsFinal()
    {
        for (const char *text : {"", "name = 'd", "memoryMb = 26"}) {
            SettingsFileWait wait(1);
            const auto waited = waitFor(wait, std::string(text));
            CPPUNIT_ASSERT(waited >= Milliseconds{500} && waited <= Milliseconds{1'000});
        }
    }

    void changingFileIsAwaited()
    {
        SettingsFileWait wait(1);
        std::string text = "memoryMb = 2";
        auto now = begin;
        while (wait.pauseAfter(text, now)) {
            text += '0';
            now += Milliseconds{100};
            CPPUNIT_ASSERT(now < begin + Milliseconds{6'000});
        }
        CPPUNIT_ASSERT(now - begin >= Milliseconds{1'000});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartRetryTest);
