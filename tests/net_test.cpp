/** @file net_test.cpp Tests of the HTTP server and client: complete messages, malformed input, time-outs, shutdown. */
#include "core/error.h"
#include "net_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <fmt/format.h>

using namespace flamingotally;

class NetTest : public HttpFixture
{
    CPPUNIT_TEST_SUITE(NetTest);
    CPPUNIT_TEST(requestArrivesCompletely);
    CPPUNIT_TEST(lateResponsesReachTheirOwnCallers);
    CPPUNIT_TEST(requestOnRefusedConnectionWasNeverSent);
    CPPUNIT_TEST(closeWithoutResponseMeansUnknownOutcome);
    CPPUNIT_TEST(unresponsiveServerTimesOut);
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
        const auto &request = requests.at(0);
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
        respondsAtOnce = false;
        constexpr std::size_t callers = 20;
        std::vector<std::string> bodies(callers);
        std::size_t responseCount = 0;
        for (std::size_t n = 0; n < callers; ++n) {
            httpClient->send(callTo({.method = HttpMethod::Post, .target = "/", .body = std::to_string(n)}),
                             [&bodies, &responseCount, n](const HttpResult &result) {
                                 bodies[n] = result->body;
                                 ++responseCount;
                             });
        }
        runUntil(*ioContext, [this] { return responders.size() == callers; });
        for (std::size_t n = callers; n > 0; --n) {
            responders[n - 1]({.body = "for " + requests[n - 1].body});
        }
        runUntil(*ioContext, [&responseCount] { return responseCount == callers; });
        for (std::size_t n = 0; n < callers; ++n) {
            CPPUNIT_ASSERT_EQUAL(fmt::format("for {}", n), bodies[n]);
        }
    }

    void requestOnRefusedConnectionWasNeverSent()
    {
        startServer();
        const auto address = httpServer->address();
        httpServer->close();
        const auto result = callAndWait(*ioContext, *httpClient, {.address = address, .step = Step::Append});
        CPPUNIT_ASSERT(wasNeverSent(result.status()));
        CPPUNIT_ASSERT(stepOf(result.status()) == Step::Append);
        CPPUNIT_ASSERT_EQUAL(address, peerOf(result.status()));
    }

    void closeWithoutResponseMeansUnknownOutcome()
    {
        startServer();
        respondsAtOnce = false;
        std::optional<HttpResult> result;
        httpClient->send(callTo({.target = "/"}), [&result](HttpResult arrived) { result = std::move(arrived); });
        runUntil(*ioContext, [this] { return !responders.empty(); });
        httpServer->close();
        runUntil(*ioContext, [&result] { return result.has_value(); });
        CPPUNIT_ASSERT(!result->ok());
        CPPUNIT_ASSERT(!wasNeverSent(result->status()));
    }

    void unresponsiveServerTimesOut()
    {
        startServer();
        respondsAtOnce = false;
        const auto result = call({.target = "/", .timeout = Milliseconds{20}});
        CPPUNIT_ASSERT(result.status().code() == absl::StatusCode::kDeadlineExceeded);
        responders.at(0)({.body = "too late"});
        respondsAtOnce = true;
        CPPUNIT_ASSERT_EQUAL(std::string("answer 1"), call({.target = "/"})->body);
    }

    void largeBodyIsRefused()
    {
        startServer({.maxBodyBytes = 10});
        const auto result = call({.method = HttpMethod::Post, .target = "/", .body = std::string(1'000'000, 'x')});
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(413U, result->status);
        CPPUNIT_ASSERT(result->body.find("\"reason\":\"request_too_large\"") != std::string::npos);
        CPPUNIT_ASSERT(requests.empty());
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
            RawClient caller(*ioContext, httpServer->address());
            caller.send(bytes);
            caller.finishSending();
            const auto response = caller.readToEnd();
            CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 400"));
            CPPUNIT_ASSERT(response.find("\"reason\":\"malformed_request\"") != std::string::npos);
        }
        CPPUNIT_ASSERT(requests.empty());
    }

    void truncatedRequestNeverReachesTheHandler()
    {
        startServer();
        RawClient caller(*ioContext, httpServer->address());
        caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        caller.finishSending();
        CPPUNIT_ASSERT(caller.readToEnd().starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT(requests.empty());
    }

    void slowCallerIsTimedOut()
    {
        startServer({.requestTimeout = Milliseconds{20}});
        RawClient caller(*ioContext, httpServer->address());
        caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        CPPUNIT_ASSERT(caller.readToEnd().starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT(requests.empty());
    }

    void expectContinueIsAnswered()
    {
        startServer();
        RawClient caller(*ioContext, httpServer->address());
        caller.send("POST / HTTP/1.1\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody");
        CPPUNIT_ASSERT(caller.readToEnd().starts_with("HTTP/1.1 100"));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), requests.at(0).body);
    }

    void drainAnswersPendingRequests()
    {
        startServer({.drainGraceTime = Milliseconds{1}});
        respondsAtOnce = false;
        std::optional<HttpResult> result;
        httpClient->send(callTo({.target = "/"}), [&result](HttpResult arrived) { result = std::move(arrived); });
        runUntil(*ioContext, [this] { return !responders.empty(); });
        bool isDrained = false;
        httpServer->drain([&isDrained] { isDrained = true; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, httpServer->pendingRequestCount());
        responders.at(0)({.body = "whole"});
        runUntil(*ioContext, [&] { return result.has_value() && isDrained; });
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), (*result)->body);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), std::string(fieldValue((*result)->fields, "Connection")));
        CPPUNIT_ASSERT(wasNeverSent(call({.target = "/"}).status()));
    }

    void drainClosesIdleConnections()
    {
        startServer({.drainGraceTime = Milliseconds{1}});
        CPPUNIT_ASSERT(call({.target = "/"}).ok());
        bool isDrained = false;
        httpServer->drain([&isDrained] { isDrained = true; });
        runUntil(*ioContext, [&isDrained] { return isDrained; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, httpServer->connectionCount());
    }

    void arbitraryBytesDoNotStopTheServer()
    {
        startServer();
        const bool succeeded =
            rc::check("the server still serves after arbitrary bytes", [this](const std::string &bytes) {
                RawClient caller(*ioContext, httpServer->address());
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetTest);
