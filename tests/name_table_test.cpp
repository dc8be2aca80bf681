/** @file name_table_test.cpp Tests of the name tables of enumerations. */
#include "table/command_table.h"
#include "table/domain_table.h"
#include "table/history_table.h"
#include "table/job_table.h"
#include "table/message_table.h"
#include "table/node_table.h"
#include "table/profile_table.h"
#include "table/team_table.h"
#include "table/worker_table.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

class NameTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NameTableTest);
    CPPUNIT_TEST(everyNameMapsToItsValue);
    CPPUNIT_TEST_SUITE_END();

public:
    template<typename Row, std::size_t N>
    static void check(const std::array<Row, N> &table)
    {
        for (const auto &row : table) {
            CPPUNIT_ASSERT(valueFromName(table, row.name) == row.value);
        }
        CPPUNIT_ASSERT(!valueFromName(table, "no such name"));
    }

    void everyNameMapsToItsValue()
    {
        check(workKindTable);
        check(outcomeTable);
        check(stopCauseTable);
        check(keyRoleTable);
        check(domainServiceTable);
        check(workerServiceTable);
        check(changeKindTable);
        check(nodePhaseTable);
        check(commandKindTable);
        check(hostRoleTable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NameTableTest);
