/** @file json_codec_test.cpp Tests the parsing of request bodies in JSON, and of profiles in JSON and TOML. */
#include "codec/request_codec.h"
#include "core/error.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

class JsonCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonCodecTest);
    CPPUNIT_TEST(parsesSubmission);
    CPPUNIT_TEST(submissionErrorsNameTheField);
    CPPUNIT_TEST(rejectsMalformedBodies);
    CPPUNIT_TEST(profileIsTheSameInTomlAndJson);
    CPPUNIT_TEST(parsesTeamAndKey);
    CPPUNIT_TEST_SUITE_END();

public:
    void parsesSubmission()
    {
        const auto action = parseSubmit(R"({"profile":"booking","count":3,"payload":"hold 7",
            "resources":{"cpuMilli":500,"memoryMb":256}})");
        CPPUNIT_ASSERT(action.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("booking"), action->profile);
        CPPUNIT_ASSERT_EQUAL(3u, action->count);
        CPPUNIT_ASSERT((action->perTask == Resources{500, 256, 0}));
    }

    void submissionErrorsNameTheField()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("unknown field 'priority'"),
                             messageOf(parseSubmit(R"({"priority":1})").status()));
        CPPUNIT_ASSERT_EQUAL(std::string("bad value of 'count': expected a whole number from 1 to 1000"),
                             messageOf(parseSubmit(R"({"profile":"p","count":0})").status()));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown field 'resources.gpus'"),
                             messageOf(parseSubmit(R"({"resources":{"gpus":1}})").status()));
        CPPUNIT_ASSERT(messageOf(parseSubmit(R"({"resources":{"cpuMilli":-1}})").status()).find("resources.cpuMilli")
                       != std::string::npos);
        CPPUNIT_ASSERT(messageOf(parseSubmit(R"({"count":1.5})").status()).find("'count'") != std::string::npos);
        CPPUNIT_ASSERT(messageOf(parseSubmit(R"({"count":18446744073709551615})").status()).find("'count'")
                       != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("field 'profile' is missing"), messageOf(parseSubmit("{}").status()));
        CPPUNIT_ASSERT(!parseSubmit(R"({"profile":"p"})").ok());
    }

    void rejectsMalformedBodies()
    {
        for (const std::string_view body : {"", "{", "[]", "1", "{\"profile\":\"\xff\"}", "{} {}", "null"}) {
            const auto action = parseSubmit(body);
            CPPUNIT_ASSERT(!action.ok());
            CPPUNIT_ASSERT(stepOf(action.status()) == Step::ParseRequest);
        }
        CPPUNIT_ASSERT(!parseSubmit(std::string(100'000, '[')).ok());
    }

    void profileIsTheSameInTomlAndJson()
    {
        const auto json = parseProfileJson(R"({"kind":"gang","urgency":"urgent","leaseMs":5000,"idempotent":false})");
        CPPUNIT_ASSERT(json.ok());
        const auto toml = parseProfileToml(printProfile(*json), "p.toml");
        CPPUNIT_ASSERT(toml.ok());
        CPPUNIT_ASSERT_EQUAL(printProfile(*json), printProfile(*toml));
        CPPUNIT_ASSERT(toml->kind == WorkKind::Gang);
        CPPUNIT_ASSERT(!toml->idempotent);
        CPPUNIT_ASSERT_EQUAL(
            std::string("p.toml:2: bad value of 'kind': expected one of service, batch, gang, request"),
            messageOf(parseProfileToml("\nkind = 'cron'\n", "p.toml").status()));
    }

    void parsesTeamAndKey()
    {
        const auto team = parseTeam(R"({"share":3,"limit":{"cpuMilli":1000,"memoryMb":1}})");
        CPPUNIT_ASSERT(team.ok());
        CPPUNIT_ASSERT_EQUAL(3u, team->share);
        CPPUNIT_ASSERT(!parseTeam(R"({"share":0})").ok());
        CPPUNIT_ASSERT(!parseTeam(R"({"version":1})").ok());
        CPPUNIT_ASSERT(parseKeyRequest(R"({"role":"operator","digest":")" + std::string(64, 'a') + "\"}").ok());
        CPPUNIT_ASSERT(!parseKeyRequest(R"({"role":"operator"})").ok());
        CPPUNIT_ASSERT(!parseKeyRequest(R"({"role":"root"})").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonCodecTest);
