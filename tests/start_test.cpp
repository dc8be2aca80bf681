/**
 * @file start_test.cpp The start of the real daemons: the exit status and the log line of each failure, addresses that
 * another process has, and settings files that are not whole yet.
 */
#include "net/clock.h"
#include "start_fixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/ranges.h>

#include <algorithm>

using namespace flamingotally;

namespace
{

constexpr int statusStopped = 0;
constexpr int statusUsage = 64;
constexpr int statusUnreadable = 66;
constexpr int statusAddressTaken = 69;
constexpr int statusUnexpected = 70;
constexpr int statusAddressUnavailable = 71;
constexpr int statusRefused = 78;
constexpr Milliseconds limit{10'000}; ///< Longest wait for what must happen at all.

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/** Waits until a condition is true; fails at the limit. */
template<typename Condition>
void await(const std::string &what, Condition condition)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE(what, std::chrono::steady_clock::now() < until);
        std::this_thread::sleep_for(Milliseconds{10});
    }
}

} // namespace

/** Tests of one program. */
template<typename Program>
class StartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartTest);
    CPPUNIT_TEST(invalidCommandLineEndsWithItsOwnStatus);
    CPPUNIT_TEST(refusedSettingEndsWithItsOwnStatus);
    CPPUNIT_TEST(addressOfAnotherHostEndsWithItsOwnStatusAtOnce);
    CPPUNIT_TEST(addressThatStaysTakenEndsWithItsOwnStatus);
    CPPUNIT_TEST(missingSettingsFileEndsWithItsOwnStatus);
    CPPUNIT_TEST(exceptionEndsWithItsOwnStatus);
    CPPUNIT_TEST(daemonWaitsForEachAddressAndServesAtNoneMeanwhile);
    CPPUNIT_TEST(addressThatIsFreedAfterTwoSecondsIsTaken);
    CPPUNIT_TEST(successorOfAPausedDaemonWaitsForItsEnd);
    CPPUNIT_TEST(tenRestartsWhileClientsHoldConnections);
    CPPUNIT_TEST(secondDaemonWithTheSameAddressesGivesUp);
    CPPUNIT_TEST(shutdownWhileItWaitsLeavesNothingBehind);
    CPPUNIT_TEST(settingsFileThatAppearsLaterIsRead);
    CPPUNIT_TEST(settingsFileThatIsWrittenInPartsIsReadWhole);
    CPPUNIT_TEST(settingsFileThatStaysEmptyIsRefused);
    CPPUNIT_TEST(settingsFileThatStaysMalformedIsRefused);
    CPPUNIT_TEST(settingsFileWithoutFinalNewlineIsRead);
    CPPUNIT_TEST(daemonWithoutAReaderOfItsLogServes);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (const auto *it : Program::addresses) {
            m_addresses.push_back(unusedAddress());
            m_settings.push_back(fmt::format("{} = '{}'", it, m_addresses.back()));
        }
        for (const auto &it : Program::settings()) {
            m_settings.push_back(it);
        }
    }

    // Guards against a status of 1 for all causes, as in review/11.
    void invalidCommandLineEndsWithItsOwnStatus()
    {
        auto child = run({"--nonsense"});
        expectFailure(*child, statusUsage, "step=read_arguments failure=usage");
    }

    void refusedSettingEndsWithItsOwnStatus()
    {
        writeSettings("nonsense = 1\n");
        auto child = run({"--config=" + settingsPath()});
        expectFailure(
            *child,
            statusRefused,
            fmt::format("step=read_settings path={} failure=settings_refused cause=\"{}:{}: unknown key 'nonsense'\"",
                        settingsPath(),
                        settingsPath(),
                        m_settings.size() + 1));
    }

    void addressOfAnotherHostEndsWithItsOwnStatusAtOnce()
    {
        lastAddressSetting() = fmt::format("{} = '192.0.2.1:29300'", Program::addresses.back());
        auto child = start();
        expectFailure(
            *child, statusAddressUnavailable, "step=listen address=192.0.2.1:29300 failure=address_unavailable");
        CPPUNIT_ASSERT(!contains(output(), "event=start_waits"));
    }

    void addressThatStaysTakenEndsWithItsOwnStatus()
    {
        const AddressHolder holder(m_addresses.back());
        m_settings.push_back("addressTimeoutMs = 300");
        auto child = start();
        expectFailure(
            *child, statusAddressTaken, "step=listen address=" + m_addresses.back() + " failure=address_taken");
        CPPUNIT_ASSERT(contains(output(), "event=start_waits step=listen address=" + m_addresses.back()));
    }

    void missingSettingsFileEndsWithItsOwnStatus()
    {
        auto child = run({"--config=" + settingsPath()});
        expectFailure(
            *child, statusUnreadable, "step=read_settings path=" + settingsPath() + " failure=settings_unreadable");
    }

    void exceptionEndsWithItsOwnStatus()
    {
        writeSettings();
        constexpr rlim_t tooFew = 4; // without room for the descriptors of the event loop
        ChildProcess child({.arguments = {Program::path, "--config=" + settingsPath()},
                            .output = outputPath(),
                            .maxDescriptors = tooFew});
        expectFailure(child, statusUnexpected, "failure=unexpected_error");
    }

    // Guards against daemons that end as long as another process has an address, and against those that serve at a
    // part.
    void daemonWaitsForEachAddressAndServesAtNoneMeanwhile()
    {
        for (const auto &it : m_addresses) {
            auto holder = std::make_unique<AddressHolder>(it);
            auto child = start();
            await("it waits", [&] { return contains(output(), "event=start_waits step=listen address=" + it); });
            CPPUNIT_ASSERT(!respondsAnywhere());
            CPPUNIT_ASSERT(child->isAlive());
            holder.reset();
            awaitService();
            CPPUNIT_ASSERT(contains(output(), "event=start_resumed step=listen address=" + it));
            child->signal(SIGTERM);
            CPPUNIT_ASSERT(child->exitStatus(limit) == statusStopped);
            std::filesystem::remove(outputPath());
        }
    }

    void addressThatIsFreedAfterTwoSecondsIsTaken()
    {
        auto holder = std::make_unique<AddressHolder>(m_addresses.front());
        auto child = start();
        CPPUNIT_ASSERT(!child->exitStatus(Milliseconds{2'000}) && child->isAlive());
        CPPUNIT_ASSERT(!contains(output(), " incarnation="));
        const auto freedAt = SystemClock().wallNow().time_since_epoch().count();
        holder.reset();
        awaitService();
        await("its incarnation is logged", [&] { return contains(output(), " incarnation="); });
        // newer than that of a daemon which had the address meanwhile
        CPPUNIT_ASSERT(incarnation() >= freedAt);
    }

    // Guards against a restart that fails while the predecessor is paused, or not reaped yet.
    void successorOfAPausedDaemonWaitsForItsEnd()
    {
        auto paused = start();
        awaitService();
        paused->signal(SIGSTOP);
        auto successor = start();
        await("it waits", [&] { return contains(output(), "event=start_waits"); });
        CPPUNIT_ASSERT(!successor->exitStatus(Milliseconds{500}) && successor->isAlive());
        paused->signal(SIGKILL);
        awaitService();
        CPPUNIT_ASSERT(!paused->isAlive() && successor->isAlive());
    }

    void tenRestartsWhileClientsHoldConnections()
    {
        constexpr int restarts = 10;
        constexpr int clients = 5;
        std::vector<std::unique_ptr<OpenConnection>> connections;
        auto daemon = start();
        for (int n = 0; n < restarts; ++n) {
            awaitService();
            for (int client = 0; client < clients; ++client) {
                connections.push_back(std::make_unique<OpenConnection>(m_addresses.back()));
                connections.push_back(std::make_unique<OpenConnection>(m_addresses[Program::answering.back()]));
                CPPUNIT_ASSERT(connections.back()->responds());
            }
            const bool isKilled = n % 2 == 1;
            daemon->signal(isKilled ? SIGKILL : SIGTERM);
            auto successor = start();
            const auto status = daemon->exitStatus(limit);
            CPPUNIT_ASSERT(isKilled || status == statusStopped);
            daemon = std::move(successor);
        }
        awaitService();
        CPPUNIT_ASSERT(daemon->isAlive());
        CPPUNIT_ASSERT(!contains(output(), "event=start_failed"));
    }

    void secondDaemonWithTheSameAddressesGivesUp()
    {
        auto first = start();
        awaitService();
        m_settings.push_back("addressTimeoutMs = 500");
        const auto startedAt = std::chrono::steady_clock::now();
        auto second = start();
        expectFailure(*second, statusAddressTaken, "failure=address_taken");
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt >= Milliseconds{500});
        CPPUNIT_ASSERT(first->isAlive());
        awaitService();
    }

    void shutdownWhileItWaitsLeavesNothingBehind()
    {
        auto holder = std::make_unique<AddressHolder>(m_addresses.back());
        auto child = start();
        await("it waits", [&] { return contains(output(), "event=start_waits"); });
        const auto signalledAt = std::chrono::steady_clock::now();
        child->signal(SIGTERM);
        CPPUNIT_ASSERT(child->exitStatus(limit) == statusStopped);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - signalledAt < Milliseconds{1'000});
        holder.reset();
        for (const auto &it : m_addresses) {
            const AddressHolder taken(it);
        }
    }

    // Guards against an end at once while another process is about to place the file.
    void settingsFileThatAppearsLaterIsRead()
    {
        auto child = run({"--config=" + settingsPath()});
        await("it waits", [&] { return contains(output(), "event=start_waits step=read_settings"); });
        writeSettings();
        awaitService();
        CPPUNIT_ASSERT(contains(output(), "event=start_resumed step=read_settings"));
    }

    // Guards against a daemon that runs with the first part of its settings, and defaults for the others.
    void settingsFileThatIsWrittenInPartsIsReadWhole()
    {
        writeSettings();
        const auto whole = textOf(settingsPath());
        std::ofstream(settingsPath()) << "";
        auto child = run({"--config=" + settingsPath()});
        await("it waits", [&] { return contains(output(), "event=start_waits step=read_settings"); });
        constexpr std::size_t parts = 5;
        for (std::size_t n = 1; n < parts; ++n) {
            const auto end = whole.size() * n / parts;
            const auto withoutNewline = whole[end - 1] == '\n' ? end - 1 : end;
            std::ofstream(settingsPath()) << whole.substr(0, withoutNewline);
            std::this_thread::sleep_for(Milliseconds{300});
            CPPUNIT_ASSERT(child->isAlive() && !respondsAnywhere());
        }
        std::ofstream(settingsPath()) << whole;
        awaitService();
    }

    void settingsFileThatStaysEmptyIsRefused()
    {
        std::ofstream(settingsPath()) << " \n";
        auto child = run({"--config=" + settingsPath()});
        expectFailure(*child, statusRefused, "failure=settings_refused cause=\"the file is empty\"");
    }

    void settingsFileThatStaysMalformedIsRefused()
    {
        writeSettings("logLevel = \n");
        auto child = run({"--config=" + settingsPath()});
        expectFailure(*child, statusRefused, "path=" + settingsPath() + " failure=settings_refused");
    }

    void settingsFileWithoutFinalNewlineIsRead()
    {
        writeSettings("logLevel = 'info'");
        auto child = run({"--config=" + settingsPath()});
        awaitService();
    }

    // Guards against a daemon that ends because the process that reads its log has ended.
    void daemonWithoutAReaderOfItsLogServes()
    {
        writeSettings();
        ChildProcess child({.arguments = {Program::path, "--config=" + settingsPath()}, .isLogUnread = true});
        awaitService();
        CPPUNIT_ASSERT(!child.exitStatus(Milliseconds{1'500}) && child.isAlive());
        awaitService();
    }

private:
    std::string settingsPath() const
    {
        return m_folder.file("settings.toml");
    }

    std::string outputPath() const
    {
        return m_folder.file("output");
    }

    /** Returns what the daemons have written so far. */
    std::string output() const
    {
        return textOf(outputPath());
    }

    /** Returns the incarnation that the first started daemon has logged. */
    std::int64_t incarnation() const
    {
        const std::string key = " incarnation=";
        const auto text = output();
        return std::stoll(text.substr(text.find(key) + key.size()));
    }

    std::string &lastAddressSetting()
    {
        return m_settings[Program::addresses.size() - 1];
    }

    /** Writes the settings file, with a further line at its end. */
    void writeSettings(const std::string &further = {})
    {
        std::ofstream(settingsPath()) << fmt::format("{}\n{}", fmt::join(m_settings, "\n"), further);
    }

    std::unique_ptr<ChildProcess> run(const std::vector<std::string> &arguments)
    {
        ChildOptions options{{Program::path}, outputPath()};
        options.arguments.insert(options.arguments.end(), arguments.begin(), arguments.end());
        return std::make_unique<ChildProcess>(options);
    }

    /** Starts a daemon with the settings. */
    std::unique_ptr<ChildProcess> start()
    {
        writeSettings();
        return run({"--config=" + settingsPath()});
    }

    bool respondsAnywhere() const
    {
        return std::ranges::any_of(m_addresses, [](const auto &it) { return OpenConnection(it).responds(); });
    }

    void awaitService() const
    {
        for (const auto n : Program::answering) {
            await("it serves", [&] { return OpenConnection(m_addresses[n]).responds(); });
        }
    }

    /** Checks the exit status of a process and the line of its log that tells the cause. */
    void expectFailure(ChildProcess &child, int status, const std::string &fields) const
    {
        const auto seen = child.exitStatus(limit);
        CPPUNIT_ASSERT(seen);
        CPPUNIT_ASSERT_EQUAL(status, *seen);
        const auto text = output();
        const auto event = text.rfind("event=start_failed ");
        CPPUNIT_ASSERT_MESSAGE(text, event != std::string::npos);
        const auto begin = text.rfind('\n', event) + 1; // zero for the first line
        const auto line = text.substr(begin, text.find('\n', event) - begin);
        CPPUNIT_ASSERT_MESSAGE(line, line.starts_with("time_ms="));
        CPPUNIT_ASSERT_MESSAGE(line, contains(line, "level=error "));
        CPPUNIT_ASSERT_MESSAGE(line, contains(line, fields));
        CPPUNIT_ASSERT_MESSAGE(line, contains(line, fmt::format("next=\"exits with status {}\"", status)));
    }

    TemporaryFolder m_folder;
    std::vector<std::string> m_addresses; ///< In the order of `Program::addresses`.
    std::vector<std::string> m_settings; ///< Lines of the settings file.
};

class EntryStartTest : public StartTest<EntryProgram>
{
    CPPUNIT_TEST_SUB_SUITE(EntryStartTest, StartTest<EntryProgram>);
    CPPUNIT_TEST_SUITE_END();
};

class NativeStartTest : public StartTest<NativeProgram>
{
    CPPUNIT_TEST_SUB_SUITE(NativeStartTest, StartTest<NativeProgram>);
    CPPUNIT_TEST_SUITE_END();
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryStartTest);
CPPUNIT_TEST_SUITE_REGISTRATION(NativeStartTest);
