/** @file front_test.cpp Tests of the HTTP front end: routes, access, errors, actions and results. */
#include "command_func.h"
#include "core/digest.h"
#include "net/front.h"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

namespace
{

constexpr std::string_view operatorKey = "first";
constexpr std::string_view teamKey = "red-key";
constexpr std::string_view otherKey = "blue-key";
constexpr std::string_view jobId = "01940000-0000-7000-8000-000000000001";

HttpRequest makeRequest(HttpMethod method, std::string_view path, std::string_view key = "", std::string_view body = "")
{
    HttpRequest request;
    request.method = method;
    request.path = std::string(path);
    request.bearer = std::string(key);
    request.body = std::string(body);
    return request;
}

/** A front end on a node whose tables contain two teams, a profile and one placed job of the first team. */
struct FrontFixture {
    FrontFixture()
    {
        node.settings.operatorKeyDigest = toString(digestOfKey(operatorKey));
        apply(JoinDaemon{"d1", "127.0.0.1:1", "127.0.0.1:2", "north", 1, 1});
        apply(RegisterWorker{"w1", "127.0.0.1:3", "north", "r1", {4'000, 4'096, 0}, 1});
        for (const auto &[team, key] : {std::pair{"red", teamKey}, std::pair{"blue", otherKey}}) {
            TeamPolicy policy;
            policy.limit = {8'000, 8'192, 8};
            apply(SetTeam{{}, team, policy, 0});
            apply(GrantKey{{}, team, digestOfKey(key), team, KeyRole::Submitter});
        }
        ProfileSpec spec;
        spec.kind = WorkKind::Request;
        apply(PublishProfile{{}, "hold", spec, 0, "kind = 'request'\n"});
        submitJob();
        front.sendResponse({}); // A response without a pending request is ignored.
    }

    /** Applies a command to the tables as the next record of the log. */
    void apply(const Command &command)
    {
        RecordContext context{node.tables.position.nextOffset, LogTime{Milliseconds{1'735'000'000'000}}, daemon};
        const auto result = applyCommand(node.tables, context, command);
        CPPUNIT_ASSERT(result.reason == Reason::None);
        ++node.tables.position.nextOffset;
        daemon = node.tables.daemons.at(0);
    }

    void submitJob()
    {
        SubmitJob submit;
        submit.request = *parseRequestId(jobId);
        submit.key = findKey(node.tables, digestOfKey(teamKey));
        submit.profile = node.tables.profiles.at(0);
        submit.perTask = {500, 256, 0};
        submit.placements = {{0, node.tables.workers.at(0)}};
        node.tables.position.time = LogTime{submit.request.issuedAt().time_since_epoch()};
        RecordContext context{node.tables.position.nextOffset, node.tables.position.time, daemon};
        CPPUNIT_ASSERT(applyCommand(node.tables, context, submit).reason == Reason::None);
    }

    /**
     * Ends the job with a result.
     * @param body Body of the result.
     * @param workerName Worker that retains the body; if empty, the tables contain the body.
     */
    void endJob(const std::string &body, const std::string &workerName)
    {
        const auto attempt = node.tables.attempts.get<AttemptIdentity>(node.tables.attempts.at(0)).number;
        AttemptEnd end{attempt,
                       Outcome::Succeeded,
                       {workerName.empty() ? body : "", body.size(), digestOfBytes(body), workerName}};
        apply(EndAttempts{{end}});
    }

    /** Sends a request to the front and returns the response, which has status 0 if a tick must answer the request
     * first. */
    HttpResponse send(const HttpRequest &request)
    {
        last = HttpResponse{0};
        front.handle(request, [this](HttpResponse response) { last = std::move(response); });
        return last;
    }

    /** Returns the reason in the error object of a response. */
    std::string reasonOf(const HttpResponse &response) const
    {
        const auto body = boost::json::parse(response.body);
        const auto &reason = body.as_object().at("error").as_object().at("reason").as_string();
        return {reason.data(), reason.size()};
    }

    Node node;
    DaemonRef daemon;
    int wakes = 0; ///< Number of times the front requested a tick.
    HttpResult fetched = HttpResponse{}; ///< Result that each call to a worker gets.
    std::string target; ///< Target of the last call to a worker.
    HttpResponse last; ///< Last response of the front end.
    Front front{node,
                {[] { return MonotonicTime{Milliseconds{1'000}}; },
                 [this] { ++wakes; },
                 [this](const HttpCall &call, const HttpCallback &callback) {
                     target = call.target;
                     callback(fetched);
                 }}};
};

} // namespace

class FrontTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FrontTest);
    CPPUNIT_TEST(unknownPathsAndMethodsAreRefused);
    CPPUNIT_TEST(malformedSubmissionsAreRefused);
    CPPUNIT_TEST(submissionBecomesAnAction);
    CPPUNIT_TEST(responsesReachTheirCallers);
    CPPUNIT_TEST(refusalsNameReasonStepAndRetryAfter);
    CPPUNIT_TEST(jobIsShownToItsTeamOnly);
    CPPUNIT_TEST(operatorRoutesNeedAnOperatorKey);
    CPPUNIT_TEST(configurationChangesAreParsed);
    CPPUNIT_TEST(smallResultIsReturned);
    CPPUNIT_TEST(emptyResultIsReturned);
    CPPUNIT_TEST(largeResultIsVerified);
    CPPUNIT_TEST(waitingJobIsExplained);
    CPPUNIT_TEST(metricsListEachReason);
    CPPUNIT_TEST_SUITE_END();

public:
    void unknownPathsAndMethodsAreRefused()
    {
        FrontFixture it;
        CPPUNIT_ASSERT_EQUAL(404u, it.send(makeRequest(HttpMethod::Get, "/v1/nothing")).status);
        CPPUNIT_ASSERT_EQUAL(404u, it.send(makeRequest(HttpMethod::Get, "/v1/jobs/")).status);
        CPPUNIT_ASSERT_EQUAL(404u, it.send(makeRequest(HttpMethod::Get, "/v1/jobs/a/b/result")).status);
        CPPUNIT_ASSERT_EQUAL(405u, it.send(makeRequest(HttpMethod::Delete, "/v1/jobs")).status);
        CPPUNIT_ASSERT_EQUAL(405u, it.send(makeRequest(HttpMethod::Other, "/healthz")).status);
    }

    void malformedSubmissionsAreRefused()
    {
        FrontFixture it;
        const auto submit = [&](std::string_view body) {
            return it.send(makeRequest(HttpMethod::Post, "/v1/jobs", teamKey, body));
        };
        for (const std::string_view body : {"", "[]", R"({"profile":"hold","colour":1})"}) {
            CPPUNIT_ASSERT_EQUAL(std::string("malformed_request"), it.reasonOf(submit(body)));
        }
        auto request = makeRequest(HttpMethod::Post, "/v1/jobs", teamKey, validBody);
        request.idempotencyKey = "seven";
        CPPUNIT_ASSERT_EQUAL(std::string("request_id_malformed"), it.reasonOf(it.send(request)));
        request.idempotencyKey.clear();
        for (const std::string_view wait : {"soon", "-1", "60001", "99999999999999999999"}) {
            request.query = {{"waitMs", std::string(wait)}};
            CPPUNIT_ASSERT_EQUAL(400u, it.send(request).status);
        }
        CPPUNIT_ASSERT(it.node.inbox.callerRequests.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                             it.node.counters.refusals[static_cast<std::size_t>(Reason::MalformedRequest)]);
    }

    void submissionBecomesAnAction()
    {
        FrontFixture it;
        auto request = makeRequest(HttpMethod::Post, "/v1/jobs", teamKey, validBody);
        request.idempotencyKey = std::string(jobId);
        request.query = {{"waitMs", "250"}};
        CPPUNIT_ASSERT_EQUAL(0u, it.send(request).status);
        CPPUNIT_ASSERT_EQUAL(1, it.wakes);
        const auto &caller = it.node.inbox.callerRequests.at(0);
        CPPUNIT_ASSERT(caller.key == digestOfKey(teamKey));
        const auto &action = std::get<SubmitAction>(caller.action);
        CPPUNIT_ASSERT(toString(action.request) == jobId);
        CPPUNIT_ASSERT(action.waitForEnd == Milliseconds{250});
        CPPUNIT_ASSERT(action.bodyDigest == digestOfBytes(validBody));
    }

    void responsesReachTheirCallers()
    {
        FrontFixture it;
        HttpResponse first{0};
        HttpResponse second{0};
        const auto request = makeRequest(HttpMethod::Post, "/v1/jobs", teamKey, validBody);
        it.front.handle(request, [&](HttpResponse response) { first = std::move(response); });
        it.front.handle(request, [&](HttpResponse response) { second = std::move(response); });
        CallerResponse response;
        response.handle = it.node.inbox.callerRequests.at(1).handle;
        response.request = *parseRequestId(jobId);
        it.front.sendResponse(response);
        CPPUNIT_ASSERT_EQUAL(0u, first.status);
        CPPUNIT_ASSERT_EQUAL(202u, second.status);
        CPPUNIT_ASSERT(second.body.find(jobId) != std::string::npos);
        it.front.sendResponse(response);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.front.pendingCount());
    }

    void refusalsNameReasonStepAndRetryAfter()
    {
        FrontFixture it;
        it.send(makeRequest(HttpMethod::Post, "/v1/jobs", teamKey, validBody));
        CallerResponse response;
        response.handle = it.node.inbox.callerRequests.at(0).handle;
        response.reason = Reason::QueueFull;
        response.step = Step::Admit;
        response.retryAfter = Milliseconds{1'200};
        it.front.sendResponse(response);
        CPPUNIT_ASSERT_EQUAL(429u, it.last.status);
        CPPUNIT_ASSERT_EQUAL(std::string("queue_full"), it.reasonOf(it.last));
        CPPUNIT_ASSERT(it.last.body.find(R"("step":"admit")") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string_view("2"), fieldValue(it.last.fields, "Retry-After"));
    }

    void jobIsShownToItsTeamOnly()
    {
        FrontFixture it;
        const auto path = "/v1/jobs/" + std::string(jobId);
        CPPUNIT_ASSERT_EQUAL(200u, it.send(makeRequest(HttpMethod::Get, path, teamKey)).status);
        CPPUNIT_ASSERT(it.last.body.find(R"("worker":"w1")") != std::string::npos);
        CPPUNIT_ASSERT(it.last.body.find(R"("ageMs":)") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(200u, it.send(makeRequest(HttpMethod::Get, path, operatorKey)).status);
        CPPUNIT_ASSERT_EQUAL(403u, it.send(makeRequest(HttpMethod::Get, path, otherKey)).status);
        CPPUNIT_ASSERT_EQUAL(401u, it.send(makeRequest(HttpMethod::Get, path)).status);
        CPPUNIT_ASSERT_EQUAL(401u, it.send(makeRequest(HttpMethod::Get, path + "/result")).status);
        CPPUNIT_ASSERT_EQUAL(404u, it.send(makeRequest(HttpMethod::Get, otherJob, teamKey)).status);
        CPPUNIT_ASSERT_EQUAL(400u, it.send(makeRequest(HttpMethod::Get, "/v1/jobs/seven", teamKey)).status);
        it.apply(WithdrawKey{{}, "red"});
        CPPUNIT_ASSERT_EQUAL(std::string("key_withdrawn"),
                             it.reasonOf(it.send(makeRequest(HttpMethod::Get, path, teamKey))));
    }

    void operatorRoutesNeedAnOperatorKey()
    {
        FrontFixture it;
        for (const std::string_view path : {"/v1/keys", "/v1/history"}) {
            CPPUNIT_ASSERT_EQUAL(403u, it.send(makeRequest(HttpMethod::Get, path, teamKey)).status);
            CPPUNIT_ASSERT_EQUAL(200u, it.send(makeRequest(HttpMethod::Get, path, operatorKey)).status);
            CPPUNIT_ASSERT_EQUAL(std::string::npos, it.last.body.find(toString(digestOfKey(teamKey))));
        }
        for (const std::string_view path : {"/v1/top", "/v1/teams", "/v1/domains", "/v1/workers", "/v1/daemons"}) {
            CPPUNIT_ASSERT_EQUAL(401u, it.send(makeRequest(HttpMethod::Get, path)).status);
            CPPUNIT_ASSERT_EQUAL(200u, it.send(makeRequest(HttpMethod::Get, path, teamKey)).status);
        }
        CPPUNIT_ASSERT_EQUAL(200u, it.send(makeRequest(HttpMethod::Get, "/healthz")).status);
        CPPUNIT_ASSERT_EQUAL(503u, it.send(makeRequest(HttpMethod::Get, "/readyz")).status);
    }

    void configurationChangesAreParsed()
    {
        FrontFixture it;
        auto request = makeRequest(HttpMethod::Put, "/v1/profiles/hold", operatorKey, "kind = 'cron'\n");
        request.fields = {{"Content-Type", "application/toml"}};
        CPPUNIT_ASSERT_EQUAL(422u, it.send(request).status);
        CPPUNIT_ASSERT(it.last.body.find("hold.toml:1: bad value of 'kind'") != std::string::npos);
        request.body = "kind = 'gang' # all at once\n";
        request.query = {{"expectedVersion", "1"}};
        CPPUNIT_ASSERT_EQUAL(0u, it.send(request).status);
        const auto &command = std::get<ConfigAction>(it.node.inbox.callerRequests.at(0).action).command;
        CPPUNIT_ASSERT_EQUAL(request.body, std::get<PublishProfile>(command).source);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, std::get<PublishProfile>(command).expectedVersion);
        CPPUNIT_ASSERT_EQUAL(400u, it.send(makeRequest(HttpMethod::Put, "/v1/teams/a b", operatorKey, "{}")).status);
        CPPUNIT_ASSERT_EQUAL(400u, it.send(makeRequest(HttpMethod::Put, "/v1/keys/k", operatorKey, "{}")).status);
    }

    void smallResultIsReturned()
    {
        FrontFixture it;
        const auto request = makeRequest(HttpMethod::Get, "/v1/jobs/" + std::string(jobId) + "/result", teamKey);
        CPPUNIT_ASSERT_EQUAL(std::string("result_not_ready"), it.reasonOf(it.send(request)));
        it.endJob("held\xff", "");
        CPPUNIT_ASSERT_EQUAL(200u, it.send(request).status);
        CPPUNIT_ASSERT_EQUAL(std::string("held\xff"), it.last.body);
        CPPUNIT_ASSERT_EQUAL(std::string_view("succeeded"), fieldValue(it.last.fields, "X-Outcome"));
    }

    void emptyResultIsReturned()
    {
        FrontFixture it;
        it.apply(EndAttempts{{{1, Outcome::Succeeded, {}}}});
        const auto request = makeRequest(HttpMethod::Get, "/v1/jobs/" + std::string(jobId) + "/result", teamKey);
        CPPUNIT_ASSERT_EQUAL(200u, it.send(request).status);
        CPPUNIT_ASSERT(it.last.body.empty());
    }

    void largeResultIsVerified()
    {
        FrontFixture it;
        const auto request = makeRequest(HttpMethod::Get, "/v1/jobs/" + std::string(jobId) + "/result", teamKey);
        it.endJob("a long answer", "w1");
        it.fetched = HttpResponse{200, "application/octet-stream", {}, "a long answer"};
        CPPUNIT_ASSERT_EQUAL(std::string("a long answer"), it.send(request).body);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/results/1"), it.target);
        it.fetched = HttpResponse{200, "application/octet-stream", {}, "a long ans"};
        CPPUNIT_ASSERT_EQUAL(std::string("result_truncated"), it.reasonOf(it.send(request)));
        it.fetched = HttpResponse{404};
        CPPUNIT_ASSERT_EQUAL(std::string("result_expired"), it.reasonOf(it.send(request)));
        it.fetched = absl::UnavailableError("refused");
        CPPUNIT_ASSERT_EQUAL(std::string("worker_unreachable"), it.reasonOf(it.send(request)));
    }

    void waitingJobIsExplained()
    {
        FrontFixture it;
        const auto path = "/v1/jobs/" + std::string(jobId) + "/explain";
        auto &capacity = it.node.tables.workers.get<WorkerCapacity>(it.node.tables.workers.at(0));
        CPPUNIT_ASSERT_EQUAL(200u, it.send(makeRequest(HttpMethod::Get, path, teamKey)).status);
        CPPUNIT_ASSERT(it.last.body.find(R"("workers":[])") != std::string::npos);
        const auto attempt = it.node.tables.attempts.get<AttemptIdentity>(it.node.tables.attempts.at(0)).number;
        it.apply(EndAttempts{{{attempt, Outcome::NeverStarted, {}}}});
        capacity.used = capacity.total;
        it.send(makeRequest(HttpMethod::Get, path, teamKey));
        CPPUNIT_ASSERT(it.last.body.find(R"("reason":"worker_full","workers":1)") != std::string::npos);
    }

    void metricsListEachReason()
    {
        FrontFixture it;
        const auto text = it.send(makeRequest(HttpMethod::Get, "/metrics")).body;
        CPPUNIT_ASSERT(text.find(R"(flamingotally_refusals_total{reason="queue_full"} 0)") != std::string::npos);
        CPPUNIT_ASSERT(text.find(R"(flamingotally_retries_total{reason="lease_lapsed"} 0)") != std::string::npos);
        CPPUNIT_ASSERT(text.find("flamingotally_attempts 1") != std::string::npos);
    }

private:
    static constexpr std::string_view validBody = R"({"profile":"hold","resources":{"cpuMilli":500}})";
    static constexpr std::string_view otherJob = "/v1/jobs/01940000-0000-7000-8000-0000000000ff";
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrontTest);
