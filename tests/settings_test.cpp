/** @file settings_test.cpp Tests of settings from TOML and from the command line, and of the format of log lines. */
#include "codec/settings_codec.h"
#include "net/log_line.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

namespace
{

constexpr std::string_view minimalSettings = "clusterSecret = '0123456789abcdef'\n";

/** Returns the error message for the given text of a settings file named "d.toml". */
std::string errorOf(std::string_view text)
{
    SettingsBuilder builder;
    return std::string(builder.addToml(text, "d.toml").message());
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(valuesAreReadFromToml);
    CPPUNIT_TEST(unknownKeyErrorNamesLine);
    CPPUNIT_TEST(badValueErrorStatesExpectation);
    CPPUNIT_TEST(malformedTomlErrorNamesLine);
    CPPUNIT_TEST(commandLineOverridesAreValidated);
    CPPUNIT_TEST(missingAndConflictingValuesAreRejected);
    CPPUNIT_TEST(printedSettingsCanBeParsed);
    CPPUNIT_TEST(logLineEscapesNewline);
    CPPUNIT_TEST_SUITE_END();

public:
    void valuesAreReadFromToml()
    {
        SettingsBuilder builder;
        const auto text = std::string(minimalSettings) + "name = 'd1'\nfenceMs = 1500\nlogLevel = 'warning'\n";
        CPPUNIT_ASSERT(builder.addToml(text, "d.toml").ok());
        const auto settings = builder.build();
        CPPUNIT_ASSERT(settings.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("d1"), settings->name);
        CPPUNIT_ASSERT(settings->fence == Milliseconds{1500});
        CPPUNIT_ASSERT(settings->logLevel == LogLevel::Warning);
    }

    void unknownKeyErrorNamesLine()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("d.toml:2: unknown key 'fance'"), errorOf("name = 'd'\nfance = 3\n"));
    }

    void badValueErrorStatesExpectation()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("d.toml:1: bad value of 'fenceMs': expected a whole number of milliseconds from 100 to 60000"),
            errorOf("fenceMs = 1"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("d.toml:1: bad value of 'logLevel': expected one of debug, info, warning, error"),
            errorOf("logLevel = 'loud'"));
        CPPUNIT_ASSERT(errorOf("fenceMs = '3 s'").find("d.toml:1: bad value") == 0);
        CPPUNIT_ASSERT(errorOf("httpAddress = 'localhost:80'").find("expected an address") != std::string::npos);
        CPPUNIT_ASSERT(errorOf("httpAddress = '127.0.0.300:80'").find("expected an address") != std::string::npos);
        CPPUNIT_ASSERT(errorOf("operatorKeyDigest = 'abc'").find("64 hexadecimal") != std::string::npos);
        CPPUNIT_ASSERT(errorOf("name = 'a b'").find("letters") != std::string::npos);
    }

    void malformedTomlErrorNamesLine()
    {
        CPPUNIT_ASSERT(errorOf("name = 'd'\nfenceMs = \n").find("d.toml:2: ") == 0);
    }

    void commandLineOverridesAreValidated()
    {
        SettingsBuilder builder;
        CPPUNIT_ASSERT(builder.addOverride("fenceMs=2000").ok());
        CPPUNIT_ASSERT(builder.addOverride("clusterSecret=0123456789abcdef").ok());
        CPPUNIT_ASSERT(!builder.addOverride("fenceMs=2000x").ok());
        CPPUNIT_ASSERT(!builder.addOverride("fenceMs").ok());
        CPPUNIT_ASSERT(!builder.addOverride("fance=1").ok());
        CPPUNIT_ASSERT(builder.build()->fence == Milliseconds{2000});
    }

    void missingAndConflictingValuesAreRejected()
    {
        CPPUNIT_ASSERT(!SettingsBuilder().build().ok());
        SettingsBuilder builder;
        CPPUNIT_ASSERT(builder.addToml(std::string(minimalSettings) + "peerTimeoutMs = 500", "d.toml").ok());
        CPPUNIT_ASSERT(!builder.build().ok());
    }

    void printedSettingsCanBeParsed()
    {
        Settings settings;
        settings.name = "printed";
        settings.clusterSecret = "never shown anywhere";
        const auto text = printSettings(settings);
        CPPUNIT_ASSERT(text.find(settings.clusterSecret) == std::string::npos);
        SettingsBuilder builder;
        CPPUNIT_ASSERT(builder.addToml(std::string(minimalSettings) + text, "d.toml").ok());
        CPPUNIT_ASSERT_EQUAL(settings.name, builder.build()->name);
    }

    void logLineEscapesNewline()
    {
        const auto line = formatLogLine(WallTime{Milliseconds{1'500}},
                                        {LogLevel::Info, Step::Listen, "127.0.0.1:80", "it's \"up\"\n"},
                                        {{"job", "a b"}});
        CPPUNIT_ASSERT_EQUAL(std::string("time=1970-01-01T00:00:01.500Z level=info step=listen peer=127.0.0.1:80 "
                                         "message=\"it's \\\"up\\\"\\x0a\" job=\"a b\""),
                             line);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
