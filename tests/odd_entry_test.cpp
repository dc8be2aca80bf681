/** @file odd_entry_test.cpp Tests of entries in the list of workers that another writer left there. */
#include "core/error.h"
#include "dispatch_fixture.h"
#include "net_fixture.h"
#include "platform_standin.h"
#include "store_client.h"
#include "worker_entry_codec.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr const char *topicName = "keyed.servers";

/** Returns an entry that can be used, with one field replaced. @param value JSON; empty to leave the field out. */
std::string entryWith(std::string_view field, std::string_view value)
{
    const std::vector<std::pair<std::string_view, std::string_view>> fields{
        {"service", R"("pool")"},
        {"address", R"("10.0.0.1:80")"},
        {"zone", R"("z")"},
        {"state", R"("ready")"},
        {"capacity", R"({"cpu":4000,"memMb":16384,"gpu":0})"},
        {"labels", R"(["a","r1"])"},
        {"seqNo", "7"},
        {"born", "5"},
    };
    std::string text;
    for (const auto &[name, usual] : fields) {
        if (const auto it = name == field ? value : usual; !it.empty()) {
            text += fmt::format(R"({}"{}":{})", text.empty() ? "" : ",", name, it);
        }
    }
    const bool isOther =
        !value.empty() && std::ranges::none_of(fields, [&](const auto &it) { return it.first == field; });
    return isOther ? fmt::format(R"({{{},"{}":{}}})", text, field, value) : "{" + text + "}";
}

/** Values that cannot be used, by field. */
const std::vector<std::pair<std::string_view, std::string>> oddValues{
    {"address", R"("10.0.0.1:0")"},
    {"address", R"("10.0.0.1:65536")"},
    {"address", R"("10.0.0.1:-1")"},
    {"address", R"("10.0.0.1")"},
    {"address", R"("0.0.0.0:80")"},
    {"address", R"("255.255.255.255:80")"},
    {"address", R"("224.0.0.1:80")"},
    {"address", R"("a.example:80")"},
    {"address", R"("10.0.0.1:80\r\nX: y")"},
    {"address", "7"},
    {"address", ""},
    {"service", ""},
    {"service", "[]"},
    {"service", R"("a b")"},
    {"service", R"("a\n")"},
    {"zone", "null"},
    {"state", R"("resting")"},
    {"state", "true"},
    {"capacity", ""},
    {"capacity", "[4000]"},
    {"capacity", R"({"cpu":-1,"memMb":16384})"},
    {"capacity", R"({"cpu":1e18,"memMb":16384})"},
    {"capacity", R"({"cpu":9223372036854775807,"memMb":16384})"},
    {"capacity", R"({"cpu":18446744073709551616,"memMb":16384})"},
    {"capacity", R"({"cpu":4000.5,"memMb":16384})"},
    {"capacity", R"({"cpu":"4000","memMb":16384})"},
    {"capacity", R"({"cpu":4000,"memMb":16384,"gpu":100000})"},
    {"capacity", R"({"cpu":4000,"memMb":1e300})"},
    {"labels", R"("a")"},
    {"labels", R"(["a",5])"},
    {"labels", R"([["a"],"r1"])"},
    {"remainingMs", "-1"},
    {"remainingMs", "9223372036854775807"},
    {"seqNo", R"("x")"},
    {"slots", "-8"},
    {"born", "[]"},
    {"version", "1"},
};

const std::vector<std::string> unusableKeys{
    "", " ", "a b", "a\r\nHost: x", "\xff\xfe", "a\"b", "\x01", std::string("a\0b", 3)};
const std::vector<std::string> keysToEscape{"a&from=0", "a%zz", "a#b", "a+b", "a?b=c"};

/** Returns an entry with nested lists in a field. */
std::string nestedEntry()
{
    constexpr std::size_t depth = 20'000;
    return entryWith("extra", std::string(depth, '[') + std::string(depth, ']'));
}

/** Reads the newest records of the topic, page by page. */
platform::StoreRead readNewest(boost::asio::io_context &io, platform::StoreClient &store)
{
    std::optional<platform::StoreRead> response;
    store.readNewest(topicName, [&](const platform::StoreRead &read) { response = read; });
    runUntil(io, [&] { return response.has_value(); });
    return *response;
}

/** Reads all changes of the topic, as far as they are retained. */
platform::StoreRead readChanges(boost::asio::io_context &io, platform::StoreClient &store)
{
    std::optional<platform::StoreRead> response;
    store.read(topicName, 0, Milliseconds{0}, 1'024, [&](const platform::StoreRead &read) { response = read; });
    runUntil(io, [&] { return response.has_value(); });
    return *response;
}

/** A store with its client. */
struct StoreFixture {
    boost::asio::io_context io;
    HttpClient client{io};
    standin::PlatformStandin standin{io, 0};
    platform::StoreClient store{client, standin.storeAddress(), [] {
                                    return std::vector<std::string>{};
                                }};
};

/** Returns how often an entry was logged as malformed. */
std::ptrdiff_t malformedLines(const DispatchWorld &world, std::string_view key)
{
    return std::ranges::count_if(world.events, [&](const Event &it) {
        return it.kind == EventKind::WorkerMalformed && it.fields.find(fmt::format("key=\"{}\"", key)) == 0;
    });
}

} // namespace

class OddEntryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OddEntryTest);
    CPPUNIT_TEST(usesNoWorkerOfAnOddEntry);
    CPPUNIT_TEST(readsThePagesBehindAnOddKey);
    CPPUNIT_TEST(takesAnUndecodableValueForNoDeletion);
    CPPUNIT_TEST(replacedByAnOddEntryAWorkerGetsNoWorkUntilItIsWell);
    CPPUNIT_TEST(readsArbitraryRecordsBothWays);
    CPPUNIT_TEST_SUITE_END();

public:
    /** An entry with a port out of range or an absurd capacity named a worker, and drew the work of its pool. */
    void usesNoWorkerOfAnOddEntry()
    {
        CPPUNIT_ASSERT(platform::decodeWorker("i-1", entryWith("", "")).ok());
        CPPUNIT_ASSERT(platform::decodeWorker("i-1", entryWith("labels", "")).ok());
        CPPUNIT_ASSERT(platform::decodeWorker("i-1", entryWith("capacity", R"({"cpu":64000.0})")).ok());
        for (const auto &[field, value] : oddValues) {
            const auto worker = platform::decodeWorker("i-1", entryWith(field, value));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} {}", field, value), !worker.ok());
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, messageOf(worker.status()).find(field));
        }
        for (const auto &key : unusableKeys) {
            CPPUNIT_ASSERT_MESSAGE(key, !platform::decodeWorker(key, entryWith("", "")).ok());
        }
        for (const auto &bytes : {nestedEntry(), std::string("{"), std::string("[]"), entryWith("zone", "\"\xff\"")}) {
            CPPUNIT_ASSERT(!platform::decodeWorker("i-1", bytes).ok());
        }
    }

    /** A key that had to be escaped in the URL of the next page ended the whole read, so that no list was followed. */
    void readsThePagesBehindAnOddKey()
    {
        StoreFixture fixture;
        std::set<std::string> keys;
        for (const auto &list : {unusableKeys, keysToEscape}) {
            for (const auto &key : list) {
                keys.insert(key);
                fixture.standin.put(topicName, key, "{}");
            }
        }
        for (int n = 0; n < 10; ++n) {
            keys.insert(fmt::format("i-{}", n));
            fixture.standin.put(topicName, fmt::format("i-{}", n), entryWith("", ""));
        }
        for (const auto &read : {readNewest(fixture.io, fixture.store), readChanges(fixture.io, fixture.store)}) {
            CPPUNIT_ASSERT(read.result == platform::StoreResult::Done);
            std::set<std::string> found;
            for (const auto &it : read.records) {
                found.insert(it.key);
            }
            CPPUNIT_ASSERT(found == keys);
        }
    }

    /** A value that was no base64 read as empty, which is how a deletion reads. */
    void takesAnUndecodableValueForNoDeletion()
    {
        boost::asio::io_context io;
        HttpClient client(io);
        HttpServer server(io, {}, [](const HttpRequest & /*request*/, const HttpResponder &respond) {
            respond({.status = 200U,
                     .body = R"({"items":[{"key":"i-1","value":"?","offset":1},{"value":"e30="},7],"end":2})"});
        });
        CPPUNIT_ASSERT(server.listen(anyLoopbackPort).ok());
        platform::StoreClient store(client, server.address(), [] { return std::vector<std::string>{}; });
        const auto read = readNewest(io, store);
        CPPUNIT_ASSERT(read.result == platform::StoreResult::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.records.size());
        CPPUNIT_ASSERT(!read.records.front().value.empty());
        CPPUNIT_ASSERT(!platform::decodeWorker("i-1", read.records.front().value).ok());
    }

    /** An entry that replaced a good one and could not be read was skipped, so that the old one stayed in use. */
    void replacedByAnOddEntryAWorkerGetsNoWorkUntilItIsWell()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        world.listMalformed(0, "port");
        world.run(Milliseconds{100});
        world.listMalformed(0, "port");
        world.submit(0, 1, jobOf({plainStep(6)}));
        world.run(Milliseconds{1'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOn(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, world.startsOn(1));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, malformedLines(world, "w0"));
        world.listWorker(0, false);
        world.run(Milliseconds{2'000});
        world.submit(0, 2, jobOf({plainStep(6)}));
        world.run(Milliseconds{1'500});
        CPPUNIT_ASSERT(world.startsOn(0) > 0);
        assertNoViolations(world);
    }

    void readsArbitraryRecordsBothWays()
    {
        const bool holds = rc::check("arbitrary records are read as they are, and none ends the decoder", [] {
            StoreFixture fixture;
            std::map<std::string, std::string> newest;
            const auto count = *rc::gen::inRange(0, 8);
            for (int n = 0; n < count; ++n) {
                const auto key = *rc::gen::resize(20, rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
                const auto value =
                    *rc::gen::oneOf(rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::arbitrary<char>())),
                                    rc::gen::map(rc::gen::elementOf(oddValues),
                                                 [](const auto &odd) { return entryWith(odd.first, odd.second); }));
                newest[key] = value;
                fixture.standin.put(topicName, key, value);
            }
            for (const auto &read : {readNewest(fixture.io, fixture.store), readChanges(fixture.io, fixture.store)}) {
                RC_ASSERT(read.result == platform::StoreResult::Done);
                std::map<std::string, std::string> found;
                for (const auto &it : read.records) {
                    found[it.key] = it.value;
                    static_cast<void>(platform::decodeWorker(it.key, it.value));
                }
                RC_ASSERT(found == newest);
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntryTest);
