/**
 * @file client_limits_test.cpp Callers outside the limits against the real entry daemon on loopback. Each test checks
 * only that the process lives, its peak memory, its open descriptors, and that an ordinary request is answered.
 */
#include "child_process.h"
#include "net_fixture.h"
#include "platform_fixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <list>
#include <memory>

using namespace flamingotally;

namespace
{

using boost::asio::ip::tcp;

constexpr std::size_t memoryMb = 64; ///< Setting of the daemon, and bound of its peak memory.
constexpr std::size_t manyDescriptors = 2'048; ///< Setting of the daemon where the memory is what binds.
constexpr std::size_t fewDescriptors = 256; ///< Setting of the daemon where the descriptors are what binds.
constexpr std::size_t endlessCallers = 12;
constexpr std::size_t endlessBytes = 10 * 1024 * 1024; ///< What each of them sends.
constexpr std::size_t bodyCallers = 400; ///< Together 100 MB of bodies; fits into a soft limit of 1,024 descriptors.
constexpr std::size_t bodyBytes = 256 * 1024 - 256; ///< Just short of the limit of a body.
constexpr Milliseconds sendLimit{4'000}; ///< Longest time for which a crowd sends.
constexpr Milliseconds settleTime{500}; ///< Time in which the daemon reads what was sent.
constexpr Milliseconds answerLimit{15'000}; ///< Longest wait for an ordinary response.

constexpr const char *chunkedHeader =
    "POST /q/00000000000000a1 HTTP/1.1\r\nHost: queue.example\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Runs handlers until a condition is true or the time is over; returns whether the condition is true. */
template<typename Condition>
bool runFor(boost::asio::io_context &io, Milliseconds limit, Condition condition)
{
    const auto endsAt = std::chrono::steady_clock::now() + limit;
    io.restart();
    while (!condition() && std::chrono::steady_clock::now() < endsAt) {
        io.run_one_until(std::min(endsAt, std::chrono::steady_clock::now() + Milliseconds{50}));
        io.restart();
    }
    return condition();
}

/** The entry daemon as a child process. */
class EntryProcess : public ChildProcess
{
public:
    explicit EntryProcess(const dispatch::EntrySettings &settings)
        : ChildProcess({.arguments = {ENTRY_PROGRAM,
                                      "--set=name=" + settings.name,
                                      "--set=frontAddress=" + settings.frontAddress,
                                      "--set=readyAddress=" + settings.readyAddress,
                                      "--set=peerAddress=" + settings.peerAddress,
                                      "--set=metricsAddress=" + settings.metricsAddress,
                                      "--set=storeAddress=" + settings.storeAddress,
                                      "--set=adviceAddress=" + settings.adviceAddress,
                                      fmt::format("--set=memoryMb={}", settings.memoryMb),
                                      fmt::format("--set=maxDescriptors={}", settings.maxDescriptors)}})
    {
    }

    /** Returns the peak of the resident memory in kilobytes. */
    std::size_t peakKb() const
    {
        std::ifstream status(fmt::format("/proc/{}/status", id()));
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6));
            }
        }
        return 0;
    }

    std::size_t descriptors() const
    {
        const std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", id()));
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }
};

/** Connections that each send the same bytes and stay open. */
class Crowd
{
public:
    /** @param bytes Must outlive the crowd. */
    Crowd(boost::asio::io_context &io, const std::string &address, std::size_t size, const std::string &bytes)
    {
        const auto endpoint = *parseEndpoint<tcp::endpoint>(address);
        for (std::size_t n = 0; n < size; ++n) {
            auto &socket = m_sockets.emplace_back(io);
            socket.async_connect(endpoint, [this, &socket, &bytes](const boost::system::error_code &ec) {
                if (ec) {
                    ++m_done;
                    return;
                }
                boost::asio::async_write(socket,
                                         boost::asio::buffer(bytes),
                                         [this](const boost::system::error_code &, std::size_t) { ++m_done; });
            });
        }
        runFor(io, sendLimit, [this, size] { return m_done == size; });
        runFor(io, settleTime, [] { return false; });
    }

private:
    std::list<tcp::socket> m_sockets;
    std::size_t m_done = 0; ///< Connections that have sent everything, or failed.
};

/** Returns a chunked request whose body stops short of the limit, and of its end. */
std::string incompleteBody(std::size_t chunkBytes)
{
    std::string bytes = chunkedHeader;
    for (std::size_t n = 0; n < bodyBytes; n += chunkBytes) {
        const auto size = std::min(chunkBytes, bodyBytes - n);
        bytes += fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
    }
    return bytes;
}

} // namespace

class ClientLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientLimitsTest);
    CPPUNIT_TEST(survivesTrailersWithoutEnd);
    CPPUNIT_TEST(survivesAChunkExtensionWithoutEnd);
    CPPUNIT_TEST(survivesManyIncompleteBodies);
    CPPUNIT_TEST(survivesManyIncompleteBodiesInOneByteChunks);
    CPPUNIT_TEST(keepsDescriptorsFreeOfIncompleteRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::signal(SIGPIPE, SIG_IGN);
        m_io = std::make_unique<boost::asio::io_context>(1);
        m_client = std::make_unique<HttpClient>(*m_io);
        m_platform = std::make_unique<standin::PlatformStandin>(*m_io, 1);
        m_platform->put("keyed.op", "config", configText);
    }

    void tearDown() override
    {
        m_process.reset();
        m_platform.reset();
        m_client.reset();
        m_io.reset();
    }

    /** The parser needs the whole block of trailers at once, and the buffer grew to hold it. */
    void survivesTrailersWithoutEnd()
    {
        start(manyDescriptors);
        std::string bytes = std::string(chunkedHeader) + "0\r\n";
        while (bytes.size() < endlessBytes) {
            bytes += "X-Filler: " + std::string(1'000, 'x') + "\r\n";
        }
        const Crowd crowd(*m_io, m_settings.frontAddress, endlessCallers, bytes);
        check(manyDescriptors);
    }

    /** The parser needs the whole line of a chunk extension at once, and the buffer grew to hold it. */
    void survivesAChunkExtensionWithoutEnd()
    {
        start(manyDescriptors);
        const auto bytes = std::string(chunkedHeader) + "1;" + std::string(endlessBytes, 'x');
        const Crowd crowd(*m_io, m_settings.frontAddress, endlessCallers, bytes);
        check(manyDescriptors);
    }

    /** Each body is inside the limits, but all of them together exceeded the memory. */
    void survivesManyIncompleteBodies()
    {
        start(manyDescriptors);
        const auto bytes = incompleteBody(16 * 1024);
        const Crowd crowd(*m_io, m_settings.frontAddress, bodyCallers, bytes);
        check(manyDescriptors);
    }

    /** As above; the daemon has to parse six bytes for each byte of the bodies. */
    void survivesManyIncompleteBodiesInOneByteChunks()
    {
        start(manyDescriptors);
        const auto bytes = incompleteBody(1);
        const Crowd crowd(*m_io, m_settings.frontAddress, bodyCallers, bytes);
        check(manyDescriptors);
    }

    /** Incomplete requests took all descriptors, so that the daemon could open no connection to store or workers. */
    void keepsDescriptorsFreeOfIncompleteRequests()
    {
        start(fewDescriptors);
        const std::string bytes = chunkedHeader;
        const Crowd crowd(*m_io, m_settings.frontAddress, bodyCallers, bytes);
        check(fewDescriptors);
    }

private:
    /** Starts the daemon, again if one of its ports was taken meanwhile, and waits until it answers. */
    void start(std::size_t descriptors)
    {
        for (int n = 0; n < 3; ++n) {
            m_settings = entrySettings(*m_io, *m_platform, "d0");
            m_settings.memoryMb = memoryMb;
            m_settings.maxDescriptors = static_cast<std::uint32_t>(descriptors);
            m_process = std::make_unique<EntryProcess>(m_settings);
            if (answersOrdinaryRequest()) {
                return;
            }
        }
        CPPUNIT_FAIL("the daemon does not start");
    }

    /** Repeats an ordinary request until it is answered with status 200; false if the time is over or the daemon ended.
     */
    bool answersOrdinaryRequest()
    {
        bool isAnswered = false;
        const auto endsAt = std::chrono::steady_clock::now() + answerLimit;
        while (!isAnswered && m_process->isAlive() && std::chrono::steady_clock::now() < endsAt) {
            std::optional<HttpResult> result;
            HttpCall call;
            call.address = m_settings.frontAddress;
            call.target = "/q/";
            call.fields = {{"Host", "queue.example"}, {"Authorization", "Bearer red key"}};
            call.timeout = Milliseconds{5'000};
            m_client->send(std::move(call), [&result](HttpResult arrived) { result = std::move(arrived); });
            runUntil(*m_io, [&result] { return result.has_value(); });
            isAnswered = result->ok() && (*result)->status == 200;
            if (!isAnswered) {
                runFor(*m_io, Milliseconds{50}, [] { return false; });
            }
        }
        return isAnswered;
    }

    void check(std::size_t maxDescriptors)
    {
        CPPUNIT_ASSERT_MESSAGE("the daemon has ended", m_process->isAlive());
        const auto descriptors = m_process->descriptors();
        const bool isAnswered = answersOrdinaryRequest();
        const auto peakKb = m_process->peakKb();
        const auto figures = fmt::format("peak {} kB, {} descriptors, answered {}", peakKb, descriptors, isAnswered);
        fmt::print(" [{}] ", figures);
        CPPUNIT_ASSERT_MESSAGE("the daemon has ended", m_process->isAlive());
        CPPUNIT_ASSERT_MESSAGE(figures, isAnswered);
        CPPUNIT_ASSERT_MESSAGE(figures, peakKb > 0 && peakKb < memoryMb * 1024);
        CPPUNIT_ASSERT_MESSAGE(figures, descriptors < maxDescriptors);
    }

    std::unique_ptr<boost::asio::io_context> m_io;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<standin::PlatformStandin> m_platform;
    std::unique_ptr<EntryProcess> m_process;
    dispatch::EntrySettings m_settings;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientLimitsTest);
