/** @file net_test.cpp Tests of the HTTP server and client: complete messages, malformed input, time-outs, shutdown. */
#include "core/error.h"
#include "net_fixture.h"

#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <fmt/format.h>

using namespace flamingotally;

class NetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NetTest);
    CPPUNIT_TEST(requestArrivesCompletely);
    CPPUNIT_TEST(lateResponsesReachTheirOwnCallers);
    CPPUNIT_TEST(connectionIsReused);
    CPPUNIT_TEST(requestOnRefusedConnectionWasNeverSent);
    CPPUNIT_TEST(idleConnectionMakesRoomForANewOne);
    CPPUNIT_TEST(holdsNoMoreConnectionsThanTheChannelAllows);
    CPPUNIT_TEST(channelsDoNotWaitForEachOther);
    CPPUNIT_TEST(callWithoutAConnectionInTimeWasNeverSent);
    CPPUNIT_TEST(replacesAConnectionWhoseCallGotNoResponse);
    CPPUNIT_TEST(closesConnectionsThatStayIdle);
    CPPUNIT_TEST(closeEndsWaitingCalls);
    CPPUNIT_TEST(sendsACallForOneConnectionOnNoOther);
    CPPUNIT_TEST(closeWithoutResponseMeansUnknownOutcome);
    CPPUNIT_TEST(unresponsiveServerTimesOut);
    CPPUNIT_TEST(closedIdleConnectionIsNotReused);
    CPPUNIT_TEST(largeBodyIsRefused);
    CPPUNIT_TEST(largeHeaderIsRefused);
    CPPUNIT_TEST(malformedRequestIsRefused);
    CPPUNIT_TEST(truncatedRequestNeverReachesTheHandler);
    CPPUNIT_TEST(slowCallerIsTimedOut);
    CPPUNIT_TEST(expectContinueIsAnswered);
    CPPUNIT_TEST(drainAnswersPendingRequests);
    CPPUNIT_TEST(drainClosesIdleConnections);
    CPPUNIT_TEST(arbitraryBytesDoNotStopTheServer);
    CPPUNIT_TEST(endsACallThatCannotBeSentWithAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_io = std::make_unique<boost::asio::io_context>(1);
        m_client = std::make_unique<HttpClient>(*m_io);
        m_requests.clear();
        m_responders.clear();
        m_respondsAtOnce = true;
    }

    void tearDown() override
    {
        m_responders.clear();
        m_client.reset();
        m_server.reset();
        m_io.reset();
    }

    void requestArrivesCompletely()
    {
        startServer();
        const std::string body(100'000, 'x');
        const auto result = call({.method = HttpMethod::Post,
                                  .target = "/v1/a%20b?x=1&y=%26",
                                  .fields = {{"Authorization", "Bearer secret"}, {"Idempotency-Key", "id"}},
                                  .body = body});
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(200U, result->status);
        CPPUNIT_ASSERT_EQUAL(std::string("answer 0"), result->body);
        const auto &request = m_requests.at(0);
        CPPUNIT_ASSERT(request.method == HttpMethod::Post);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/a b"), request.path);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(fieldValue(request.query, "x")));
        CPPUNIT_ASSERT_EQUAL(std::string("&"), std::string(fieldValue(request.query, "y")));
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), request.bearer);
        CPPUNIT_ASSERT_EQUAL(std::string("id"), request.idempotencyKey);
        CPPUNIT_ASSERT_EQUAL(body, request.body);
    }

    void lateResponsesReachTheirOwnCallers()
    {
        startServer();
        m_respondsAtOnce = false;
        constexpr std::size_t callers = 20;
        std::vector<std::string> bodies(callers);
        std::size_t responseCount = 0;
        for (std::size_t n = 0; n < callers; ++n) {
            m_client->send(callTo({.method = HttpMethod::Post, .target = "/", .body = std::to_string(n)}),
                           [&bodies, &responseCount, n](const HttpResult &result) {
                               bodies[n] = result->body;
                               ++responseCount;
                           });
        }
        runUntil(*m_io, [this] { return m_responders.size() == callers; });
        for (std::size_t n = callers; n > 0; --n) {
            m_responders[n - 1]({.body = "for " + m_requests[n - 1].body});
        }
        runUntil(*m_io, [&responseCount] { return responseCount == callers; });
        for (std::size_t n = 0; n < callers; ++n) {
            CPPUNIT_ASSERT_EQUAL(fmt::format("for {}", n), bodies[n]);
        }
    }

    void connectionIsReused()
    {
        startServer();
        for (int n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(call({.target = "/"}).ok());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->connectionCount());
    }

    void requestOnRefusedConnectionWasNeverSent()
    {
        startServer();
        const auto address = m_server->address();
        m_server->close();
        const auto result = callAndWait(*m_io, *m_client, {.address = address, .step = Step::Append});
        CPPUNIT_ASSERT(wasNeverSent(result.status()));
        CPPUNIT_ASSERT(stepOf(result.status()) == Step::Append);
        CPPUNIT_ASSERT_EQUAL(address, peerOf(result.status()));
    }

    /** Idle connections to many addresses used up the limit for good, so that no new address could be reached. */
    void idleConnectionMakesRoomForANewOne()
    {
        startServer();
        const auto respond = [](const HttpRequest & /*request*/, const HttpResponder &responder) {
            responder({.body = "other"});
        };
        HttpServer other(*m_io, HttpServerSettings{}, respond);
        CPPUNIT_ASSERT(other.listen(anyLoopbackPort).ok());
        HttpClient client(*m_io, {.maxConnections = 2});
        CPPUNIT_ASSERT(callAndWait(*m_io, client, callTo({.target = "/"})).ok());
        m_respondsAtOnce = false;
        std::optional<HttpResult> pending;
        client.send(callTo({.target = "/"}), [&pending](HttpResult arrived) { pending = std::move(arrived); });
        runUntil(*m_io, [this] { return !m_responders.empty(); });
        for (int n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(callAndWait(*m_io, client, {.address = other.address(), .target = "/"}).ok());
            m_respondsAtOnce = true;
            CPPUNIT_ASSERT(callAndWait(*m_io, client, callTo({.target = "/"})).ok());
        }
        m_responders.front()({.body = "late"});
        runUntil(*m_io, [&pending] { return pending.has_value(); });
        CPPUNIT_ASSERT(pending->ok());
    }

    /** A burst of orders opened a connection for each, so that a lost host left dozens of them at a worker. */
    void holdsNoMoreConnectionsThanTheChannelAllows()
    {
        startServer();
        m_respondsAtOnce = false;
        constexpr std::size_t calls = 6;
        std::vector<std::string> responses;
        for (std::size_t n = 0; n < calls; ++n) {
            sendOn(HttpChannel::Orders, std::to_string(n), responses);
        }
        for (std::size_t n = 0; n < calls; ++n) {
            runUntil(*m_io, [&] { return m_responders.size() == n + 1; });
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->connectionCount());
            CPPUNIT_ASSERT_EQUAL(std::to_string(n), m_requests.at(n).body);
            m_responders.at(n)({.body = "done"});
            runUntil(*m_io, [&] { return responses.size() == n + 1; });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openOn(HttpChannel::Orders));
    }

    void channelsDoNotWaitForEachOther()
    {
        startServer();
        m_respondsAtOnce = false;
        std::vector<std::string> responses;
        sendOn(HttpChannel::Polls, "poll", responses);
        runUntil(*m_io, [&] { return m_responders.size() == 1; });
        m_respondsAtOnce = true;
        sendOn(HttpChannel::Orders, "order", responses);
        runUntil(*m_io, [&] { return responses.size() == 1; });
        m_responders.at(0)({.body = "late"});
        runUntil(*m_io, [&] { return responses.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("late"), responses.at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_server->connectionCount());
    }

    void callWithoutAConnectionInTimeWasNeverSent()
    {
        startServer();
        m_respondsAtOnce = false;
        std::vector<std::string> responses;
        sendOn(HttpChannel::Orders, "slow", responses);
        runUntil(*m_io, [&] { return m_responders.size() == 1; });
        const auto result = call({.channel = HttpChannel::Orders, .target = "/", .timeout = Milliseconds{20}});
        CPPUNIT_ASSERT(wasNeverSent(result.status()));
        m_responders.at(0)({.body = "slow"});
        runUntil(*m_io, [&] { return responses.size() == 1; });
        m_respondsAtOnce = true;
        CPPUNIT_ASSERT(call({.channel = HttpChannel::Orders, .target = "/"}).ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_requests.size());
    }

    void replacesAConnectionWhoseCallGotNoResponse()
    {
        startServer();
        m_respondsAtOnce = false;
        for (int n = 0; n < 3; ++n) {
            const auto result = call({.channel = HttpChannel::Orders, .target = "/", .timeout = Milliseconds{20}});
            CPPUNIT_ASSERT(result.status().code() == absl::StatusCode::kDeadlineExceeded);
        }
        m_responders.clear();
        m_respondsAtOnce = true;
        CPPUNIT_ASSERT(call({.channel = HttpChannel::Orders, .target = "/"}).ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openOn(HttpChannel::Orders));
    }

    /** A daemon that had given its cell away kept its connections to all workers as long as it lived. */
    void closesConnectionsThatStayIdle()
    {
        startServer();
        HttpClient client(*m_io, {.idleTimeout = Milliseconds{5}});
        CPPUNIT_ASSERT(callAndWait(*m_io, client, callTo({.target = "/"})).ok());
        CPPUNIT_ASSERT(callAndWait(*m_io, client, callTo({.channel = HttpChannel::Orders, .target = "/"})).ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_server->connectionCount());
        runUntil(*m_io, [this] { return m_server->connectionCount() == 0; });
        CPPUNIT_ASSERT(callAndWait(*m_io, client, callTo({.target = "/"})).ok());
    }

    void closeEndsWaitingCalls()
    {
        startServer();
        m_respondsAtOnce = false;
        std::vector<std::string> responses;
        sendOn(HttpChannel::Orders, "first", responses);
        sendOn(HttpChannel::Orders, "second", responses);
        runUntil(*m_io, [&] { return m_responders.size() == 1; });
        m_client->close();
        runUntil(*m_io, [&] { return responses.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, openOn(HttpChannel::Orders));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_requests.size());
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
        m_client = std::make_unique<HttpClient>(*m_io, HttpClientSettings{.idleTimeout = Milliseconds{5}});
        const auto other = call({.channel = HttpChannel::Polls, .target = "/"});
        runUntil(*m_io, [this] { return m_server->connectionCount() == 0; });
        const auto late = call({.channel = HttpChannel::Polls, .connection = other->connection, .target = "/"});
        CPPUNIT_ASSERT(wasConnectionClosed(late.status()));
        CPPUNIT_ASSERT(wasNeverSent(late.status()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_requests.size());
        CPPUNIT_ASSERT(call({.channel = HttpChannel::Polls, .target = "/"}).ok());
    }

    void closeWithoutResponseMeansUnknownOutcome()
    {
        startServer();
        m_respondsAtOnce = false;
        std::optional<HttpResult> result;
        m_client->send(callTo({.target = "/"}), [&result](HttpResult arrived) { result = std::move(arrived); });
        runUntil(*m_io, [this] { return !m_responders.empty(); });
        m_server->close();
        runUntil(*m_io, [&result] { return result.has_value(); });
        CPPUNIT_ASSERT(!result->ok());
        CPPUNIT_ASSERT(!wasNeverSent(result->status()));
    }

    void unresponsiveServerTimesOut()
    {
        startServer();
        m_respondsAtOnce = false;
        const auto result = call({.target = "/", .timeout = Milliseconds{20}});
        CPPUNIT_ASSERT(result.status().code() == absl::StatusCode::kDeadlineExceeded);
        m_responders.at(0)({.body = "too late"});
        m_respondsAtOnce = true;
        CPPUNIT_ASSERT_EQUAL(std::string("answer 1"), call({.target = "/"})->body);
    }

    void closedIdleConnectionIsNotReused()
    {
        startServer({.idleTimeout = Milliseconds{5}});
        CPPUNIT_ASSERT(call({.target = "/"}).ok());
        runUntil(*m_io, [this] { return m_server->connectionCount() == 0; });
        CPPUNIT_ASSERT(call({.target = "/"}).ok());
    }

    void largeBodyIsRefused()
    {
        startServer({.maxBodyBytes = 10});
        const auto result = call({.method = HttpMethod::Post, .target = "/", .body = std::string(1'000'000, 'x')});
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(413U, result->status);
        CPPUNIT_ASSERT(result->body.find("\"reason\":\"request_too_large\"") != std::string::npos);
        CPPUNIT_ASSERT(m_requests.empty());
    }

    void largeHeaderIsRefused()
    {
        startServer({.maxHeaderBytes = 200});
        const auto result = call({.target = "/", .fields = {{"X-Large", std::string(1'000, 'x')}}});
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(413U, result->status);
    }

    void malformedRequestIsRefused()
    {
        startServer();
        for (const std::string bytes :
             {"nonsense\r\n\r\n", "GET %zz HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nbad\r\n\r\n"}) {
            RawClient caller(*m_io, m_server->address());
            caller.send(bytes);
            caller.finishSending();
            const auto response = caller.readToEnd();
            CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 400"));
            CPPUNIT_ASSERT(response.find("\"reason\":\"malformed_request\"") != std::string::npos);
        }
        CPPUNIT_ASSERT(m_requests.empty());
    }

    void truncatedRequestNeverReachesTheHandler()
    {
        startServer();
        RawClient caller(*m_io, m_server->address());
        caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        caller.finishSending();
        CPPUNIT_ASSERT(caller.readToEnd().starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT(m_requests.empty());
    }

    void slowCallerIsTimedOut()
    {
        startServer({.requestTimeout = Milliseconds{20}});
        RawClient caller(*m_io, m_server->address());
        caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        CPPUNIT_ASSERT(caller.readToEnd().starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT(m_requests.empty());
    }

    void expectContinueIsAnswered()
    {
        startServer();
        RawClient caller(*m_io, m_server->address());
        caller.send("POST / HTTP/1.1\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody");
        CPPUNIT_ASSERT(caller.readToEnd().starts_with("HTTP/1.1 100"));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), m_requests.at(0).body);
    }

    void drainAnswersPendingRequests()
    {
        startServer({.drainGraceTime = Milliseconds{1}});
        m_respondsAtOnce = false;
        std::optional<HttpResult> result;
        m_client->send(callTo({.target = "/"}), [&result](HttpResult arrived) { result = std::move(arrived); });
        runUntil(*m_io, [this] { return !m_responders.empty(); });
        bool isDrained = false;
        m_server->drain([&isDrained] { isDrained = true; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->pendingRequestCount());
        m_responders.at(0)({.body = "whole"});
        runUntil(*m_io, [&] { return result.has_value() && isDrained; });
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), (*result)->body);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), std::string(fieldValue((*result)->fields, "Connection")));
        CPPUNIT_ASSERT(wasNeverSent(call({.target = "/"}).status()));
    }

    void drainClosesIdleConnections()
    {
        startServer({.drainGraceTime = Milliseconds{1}});
        CPPUNIT_ASSERT(call({.target = "/"}).ok());
        bool isDrained = false;
        m_server->drain([&isDrained] { isDrained = true; });
        runUntil(*m_io, [&isDrained] { return isDrained; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->connectionCount());
    }

    void arbitraryBytesDoNotStopTheServer()
    {
        startServer();
        const bool succeeded =
            rc::check("the server still serves after arbitrary bytes", [this](const std::string &bytes) {
                RawClient caller(*m_io, m_server->address());
                caller.send(bytes);
                caller.finishSending();
                caller.readToEnd();
                RC_ASSERT(call({.target = "/"}).ok());
            });
        CPPUNIT_ASSERT(succeeded);
    }

    /** A call whose message could not be built was never answered, so that whoever waited for it waited for good. */
    void endsACallThatCannotBeSentWithAnError()
    {
        boost::asio::io_context io;
        HttpClient client(io);
        HttpServer server(
            io, {}, [](const HttpRequest & /*request*/, const HttpResponder &respond) { respond({.status = 200U}); });
        CPPUNIT_ASSERT(server.listen(anyLoopbackPort).ok());
        HttpCall call;
        call.address = server.address();
        call.target = "/";
        call.fields.push_back({"X-Long", std::string(100'000, 'x')});
        CPPUNIT_ASSERT(!callAndWait(io, client, call).ok());
        call.fields.clear();
        CPPUNIT_ASSERT(callAndWait(io, client, call).ok());
    }

private:
    /** Starts a server that records the requests and responds at once, unless `m_respondsAtOnce` is false. */
    void startServer(HttpServerSettings settings = {})
    {
        m_server = std::make_unique<HttpServer>(*m_io, settings, [this](HttpRequest request, HttpResponder responder) {
            if (m_respondsAtOnce) {
                responder({.contentType = "text/plain", .body = fmt::format("answer {}", m_requests.size())});
            } else {
                m_responders.push_back(std::move(responder));
            }
            m_requests.push_back(std::move(request));
        });
        CPPUNIT_ASSERT(m_server->listen(anyLoopbackPort).ok());
    }

    /** Returns a call with the address of the server. */
    HttpCall callTo(HttpCall call) const
    {
        call.address = m_server->address();
        return call;
    }

    /** Sends a call on a channel. @param responses Receives the body of the response, or the error. */
    void sendOn(HttpChannel channel, const std::string &body, std::vector<std::string> &responses)
    {
        m_client->send(callTo({.channel = channel, .method = HttpMethod::Post, .target = "/", .body = body}),
                       [&responses](const HttpResult &result) {
                           responses.push_back(result.ok() ? result->body : messageOf(result.status()));
                       });
    }

    std::size_t openOn(HttpChannel channel) const
    {
        return m_client->connections()[static_cast<std::size_t>(channel)].open;
    }

    HttpResult call(HttpCall call)
    {
        return callAndWait(*m_io, *m_client, callTo(std::move(call)));
    }

    std::unique_ptr<boost::asio::io_context> m_io;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<HttpServer> m_server;
    std::vector<HttpRequest> m_requests;
    std::vector<HttpResponder> m_responders;
    bool m_respondsAtOnce = true; ///< If false, the responders are collected in `m_responders` for the test to call.
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetTest);
