/** @file key_test.cpp Tests of key digests and of the rights of bearers. */
#include "key_func.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

namespace
{

KeyRef addKey(Tables &tables, const std::string &key, KeyRole role)
{
    KeyGrant grant;
    grant.label = key;
    grant.digest = digestOfKey(key);
    grant.role = role;
    return tables.keys.insert(grant);
}

} // namespace

class KeyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeyTest);
    CPPUNIT_TEST(digestIsSha256);
    CPPUNIT_TEST(malformedDigestIsRefused);
    CPPUNIT_TEST(grantedKeyHasItsRole);
    CPPUNIT_TEST(withdrawnAndUnknownKeysGiveNoRights);
    CPPUNIT_TEST(bootstrapKeyIsOperator);
    CPPUNIT_TEST_SUITE_END();

public:
    void digestIsSha256()
    {
        const std::string expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
        CPPUNIT_ASSERT_EQUAL(expected, toString(digestOfKey("abc")));
        CPPUNIT_ASSERT(parseKeyDigest(expected) == digestOfKey("abc"));
    }

    void malformedDigestIsRefused()
    {
        CPPUNIT_ASSERT(!parseKeyDigest(""));
        CPPUNIT_ASSERT(!parseKeyDigest("ba78"));
        CPPUNIT_ASSERT(!parseKeyDigest(std::string(64, 'g')));
    }

    void grantedKeyHasItsRole()
    {
        Tables tables;
        const auto key = addKey(tables, "one", KeyRole::Submitter);
        addKey(tables, "two", KeyRole::Operator);
        const auto rights = rightsOf(tables, {}, digestOfKey("one"));
        CPPUNIT_ASSERT(rights.reason == Reason::None);
        CPPUNIT_ASSERT(rights.key == key);
        CPPUNIT_ASSERT(!rights.isOperator());
        CPPUNIT_ASSERT(rightsOf(tables, {}, digestOfKey("two")).isOperator());
    }

    void withdrawnAndUnknownKeysGiveNoRights()
    {
        Tables tables;
        tables.keys.get<KeyGrant>(addKey(tables, "one", KeyRole::Operator)).withdrawn = true;
        CPPUNIT_ASSERT(rightsOf(tables, {}, digestOfKey("one")).reason == Reason::KeyWithdrawn);
        CPPUNIT_ASSERT(!rightsOf(tables, {}, digestOfKey("one")).isOperator());
        CPPUNIT_ASSERT(rightsOf(tables, {}, digestOfKey("other")).reason == Reason::KeyUnknown);
        CPPUNIT_ASSERT(rightsOf(tables, {}, std::nullopt).reason == Reason::KeyMissing);
    }

    void bootstrapKeyIsOperator()
    {
        Settings settings;
        settings.operatorKeyDigest = toString(digestOfKey("first"));
        CPPUNIT_ASSERT(rightsOf({}, settings, digestOfKey("first")).isOperator());
        CPPUNIT_ASSERT(!rightsOf({}, settings, digestOfKey("second")).isOperator());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyTest);
