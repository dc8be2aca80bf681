/** @file http_connection_test.cpp Tests of the connections of the HTTP client: their limits, reuse and end. */
#include "core/error.h"
#include "net_fixture.h"

#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

class HttpConnectionTest : public HttpFixture
{
    CPPUNIT_TEST_SUITE(HttpConnectionTest);
    CPPUNIT_TEST(connectionIsReused);
    CPPUNIT_TEST(closedIdleConnectionIsNotReused);
    CPPUNIT_TEST(idleConnectionMakesRoomForANewOne);
    CPPUNIT_TEST(holdsNoMoreConnectionsThanTheChannelAllows);
    CPPUNIT_TEST(channelsDoNotWaitForEachOther);
    CPPUNIT_TEST(callWithoutAConnectionInTimeWasNeverSent);
    CPPUNIT_TEST(replacesAConnectionWhoseCallGotNoResponse);
    CPPUNIT_TEST(closesConnectionsThatStayIdle);
    CPPUNIT_TEST(closeEndsWaitingCalls);
    CPPUNIT_TEST(sendsACallForOneConnectionOnNoOther);
    CPPUNIT_TEST_SUITE_END();

public:
    void connectionIsReused()
    {
        startServer();
        for (int n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(call({.target = "/"}).ok());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, httpServer->connectionCount());
    }

    void closedIdleConnectionIsNotReused()
    {
        startServer({.idleTimeout = Milliseconds{5}});
        CPPUNIT_ASSERT(call({.target = "/"}).ok());
        runUntil(*ioContext, [this] { return httpServer->connectionCount() == 0; });
        CPPUNIT_ASSERT(call({.target = "/"}).ok());
    }

    /** Idle connections to many addresses used up the limit for good, so that no new address could be reached. */
    void idleConnectionMakesRoomForANewOne()
    {
        startServer();
        const auto respond = [](const HttpRequest & /*request*/, const HttpResponder &responder) {
            responder({.body = "other"});
        };
        HttpServer other(*ioContext, HttpServerSettings{}, respond);
        CPPUNIT_ASSERT(other.listen(anyLoopbackPort).ok());
        HttpClient client(*ioContext, {.maxConnections = 2});
        CPPUNIT_ASSERT(callAndWait(*ioContext, client, callTo({.target = "/"})).ok());
        respondsAtOnce = false;
        std::optional<HttpResult> pending;
        client.send(callTo({.target = "/"}), [&pending](HttpResult arrived) { pending = std::move(arrived); });
        runUntil(*ioContext, [this] { return !responders.empty(); });
        for (int n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(callAndWait(*ioContext, client, {.address = other.address(), .target = "/"}).ok());
            respondsAtOnce = true;
            CPPUNIT_ASSERT(callAndWait(*ioContext, client, callTo({.target = "/"})).ok());
        }
        responders.front()({.body = "late"});
        runUntil(*ioContext, [&pending] { return pending.has_value(); });
        CPPUNIT_ASSERT(pending->ok());
    }

    /** A burst of orders opened a connection for each, so that a lost host left dozens of them at a worker. */
    void holdsNoMoreConnectionsThanTheChannelAllows()
    {
        startServer();
        respondsAtOnce = false;
        constexpr std::size_t calls = 6;
        std::vector<std::string> responses;
        for (std::size_t n = 0; n < calls; ++n) {
            sendOn(HttpChannel::Orders, std::to_string(n), responses);
        }
        for (std::size_t n = 0; n < calls; ++n) {
            runUntil(*ioContext, [&] { return responders.size() == n + 1; });
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, httpServer->connectionCount());
            CPPUNIT_ASSERT_EQUAL(std::to_string(n), requests.at(n).body);
            responders.at(n)({.body = "done"});
            runUntil(*ioContext, [&] { return responses.size() == n + 1; });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openOn(HttpChannel::Orders));
    }

    void channelsDoNotWaitForEachOther()
    {
        startServer();
        respondsAtOnce = false;
        std::vector<std::string> responses;
        sendOn(HttpChannel::Polls, "poll", responses);
        runUntil(*ioContext, [&] { return responders.size() == 1; });
        respondsAtOnce = true;
        sendOn(HttpChannel::Orders, "order", responses);
        runUntil(*ioContext, [&] { return responses.size() == 1; });
        responders.at(0)({.body = "late"});
        runUntil(*ioContext, [&] { return responses.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("late"), responses.at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, httpServer->connectionCount());
    }

    void callWithoutAConnectionInTimeWasNeverSent()
    {
        startServer();
        respondsAtOnce = false;
        std::vector<std::string> responses;
        sendOn(HttpChannel::Orders, "slow", responses);
        runUntil(*ioContext, [&] { return responders.size() == 1; });
        const auto result = call({.channel = HttpChannel::Orders, .target = "/", .timeout = Milliseconds{20}});
        CPPUNIT_ASSERT(wasNeverSent(result.status()));
        responders.at(0)({.body = "slow"});
        runUntil(*ioContext, [&] { return responses.size() == 1; });
        respondsAtOnce = true;
        CPPUNIT_ASSERT(call({.channel = HttpChannel::Orders, .target = "/"}).ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
    }

    void replacesAConnectionWhoseCallGotNoResponse()
    {
        startServer();
        respondsAtOnce = false;
        for (int n = 0; n < 3; ++n) {
            const auto result = call({.channel = HttpChannel::Orders, .target = "/", .timeout = Milliseconds{20}});
            CPPUNIT_ASSERT(result.status().code() == absl::StatusCode::kDeadlineExceeded);
        }
        responders.clear();
        respondsAtOnce = true;
        CPPUNIT_ASSERT(call({.channel = HttpChannel::Orders, .target = "/"}).ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openOn(HttpChannel::Orders));
    }

    /** A daemon that had given its cell away kept its connections to all workers as long as it lived. */
    void closesConnectionsThatStayIdle()
    {
        startServer();
        HttpClient client(*ioContext, {.idleTimeout = Milliseconds{5}});
        CPPUNIT_ASSERT(callAndWait(*ioContext, client, callTo({.target = "/"})).ok());
        CPPUNIT_ASSERT(callAndWait(*ioContext, client, callTo({.channel = HttpChannel::Orders, .target = "/"})).ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, httpServer->connectionCount());
        // the server would close them, too, but much later
        boost::asio::steady_timer timer(*ioContext, Milliseconds{5'000});
        bool isLate = false;
        timer.async_wait([&isLate](const boost::system::error_code &ec) { isLate = !ec; });
        runUntil(*ioContext, [&] { return isLate || httpServer->connectionCount() == 0; });
        CPPUNIT_ASSERT(!isLate);
        CPPUNIT_ASSERT(callAndWait(*ioContext, client, callTo({.target = "/"})).ok());
    }

    void closeEndsWaitingCalls()
    {
        startServer();
        respondsAtOnce = false;
        std::vector<std::string> responses;
        sendOn(HttpChannel::Orders, "first", responses);
        sendOn(HttpChannel::Orders, "second", responses);
        runUntil(*ioContext, [&] { return responders.size() == 1; });
        httpClient->close();
        runUntil(*ioContext, [&] { return responses.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, openOn(HttpChannel::Orders));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
    }

    /** The process on the other side may have restarted since, and take what is meant for its predecessor for its own.
     */
    void sendsACallForOneConnectionOnNoOther()
    {
        startServer();
        const auto first = call({.channel = HttpChannel::Polls, .target = "/"});
        CPPUNIT_ASSERT(first.ok() && first->connection != 0);
        const auto again = call({.channel = HttpChannel::Polls, .connection = first->connection, .target = "/"});
        CPPUNIT_ASSERT(again.ok());
        CPPUNIT_ASSERT_EQUAL(first->connection, again->connection);
        httpClient = std::make_unique<HttpClient>(*ioContext, HttpClientSettings{.idleTimeout = Milliseconds{5}});
        const auto other = call({.channel = HttpChannel::Polls, .target = "/"});
        runUntil(*ioContext, [this] { return httpServer->connectionCount() == 0; });
        const auto late = call({.channel = HttpChannel::Polls, .connection = other->connection, .target = "/"});
        CPPUNIT_ASSERT(wasConnectionClosed(late.status()));
        CPPUNIT_ASSERT(wasNeverSent(late.status()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, requests.size());
        CPPUNIT_ASSERT(call({.channel = HttpChannel::Polls, .target = "/"}).ok());
    }

private:
    /** Sends a call on a channel. @param responses Receives the body of the response, or the error. */
    void sendOn(HttpChannel channel, const std::string &body, std::vector<std::string> &responses)
    {
        httpClient->send(callTo({.channel = channel, .method = HttpMethod::Post, .target = "/", .body = body}),
                         [&responses](const HttpResult &result) {
                             responses.push_back(result.ok() ? result->body : messageOf(result.status()));
                         });
    }

    std::size_t openOn(HttpChannel channel) const
    {
        return httpClient->connections()[static_cast<std::size_t>(channel)].open;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionTest);
