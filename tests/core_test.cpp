/** @file core_test.cpp Tests of tables, digests, request ids and errors. */
#include "core/digest.h"
#include "core/error.h"
#include "request_type.h"
#include "tables.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

class CoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CoreTest);
    CPPUNIT_TEST(staleReferenceIsNotInTheTable);
    CPPUNIT_TEST(equalTablesHaveEqualDigests);
    CPPUNIT_TEST(requestIdContainsItsTimeOfIssue);
    CPPUNIT_TEST(requestIdOfAnotherVersionIsRefused);
    CPPUNIT_TEST(errorCarriesStepAndPeer);
    CPPUNIT_TEST_SUITE_END();

public:
    void staleReferenceIsNotInTheTable()
    {
        DomainTable table;
        const auto first = table.insert({"north"}, {});
        table.erase(first);
        const auto second = table.insert({"south"}, {});
        CPPUNIT_ASSERT(!table.contains(first));
        CPPUNIT_ASSERT(table.contains(second));
        CPPUNIT_ASSERT_EQUAL(first.index, second.index);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.size());
    }

    void equalTablesHaveEqualDigests()
    {
        Tables one;
        Tables other;
        CPPUNIT_ASSERT_EQUAL(digestOf(one), digestOf(other));
        one.domains.insert({"north"}, {});
        CPPUNIT_ASSERT(digestOf(one) != digestOf(other));
        other.domains.insert({"north"}, {});
        CPPUNIT_ASSERT_EQUAL(digestOf(one), digestOf(other));
    }

    void requestIdContainsItsTimeOfIssue()
    {
        const WallTime at{Milliseconds{1'796'000'000'123}};
        const auto id = makeRequestId(at, 0x123456789abcdefULL, 0xfedcba9876543210ULL);
        CPPUNIT_ASSERT(id.issuedAt() == at);
        const auto parsed = parseRequestId(toString(id));
        CPPUNIT_ASSERT(parsed && *parsed == id);
    }

    void requestIdOfAnotherVersionIsRefused()
    {
        CPPUNIT_ASSERT(!parseRequestId("6ba7b810-9dad-11d1-80b4-00c04fd430c8"));
        CPPUNIT_ASSERT(!parseRequestId("not an id"));
        CPPUNIT_ASSERT(!parseRequestId(""));
    }

    void errorCarriesStepAndPeer()
    {
        const auto error = makeError(absl::StatusCode::kUnavailable, Step::Append, "127.0.0.1:7070", "no response");
        CPPUNIT_ASSERT(stepOf(error) == Step::Append);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7070"), peerOf(error));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreTest);
