/**
 * @file faults.cpp Measures the work done under each fault as a share of the same run without the fault. Callers submit
 * jobs at a steady rate and retry a refused one, with the same request id, at the next daemon.
 */
#include "fakes/cell.h"

#include "core/enum_table.h"

#include <fmt/format.h>

#include <cstdlib>
#include <deque>

namespace
{

using namespace flamingotally;
using namespace flamingotally::fakes;

constexpr Milliseconds runLength{600'000};
constexpr Milliseconds faultFrom{120'000};
constexpr Milliseconds faultTo{420'000};
constexpr Milliseconds submitInterval{100};
constexpr Milliseconds retryPause{1'000};
constexpr Milliseconds taskTime{2'000};
constexpr std::size_t domains = 3;

enum class Fault : std::uint8_t {
    None,
    CutFromPlatform,
    CutOff,
    StoreOutage,
    DaemonKilled,
    End,
};

constexpr EnumTable<Fault> faultTable{{
    {Fault::None, "no fault"},
    {Fault::CutFromPlatform, "one of three domains cut off from the platform for five minutes"},
    {Fault::CutOff, "one of three domains cut off from everything for five minutes"},
    {Fault::StoreOutage, "store down for five minutes"},
    {Fault::DaemonKilled, "one of six daemons killed and not replaced"},
}};
static_assert(isComplete(faultTable));

void setFault(World &world, Fault fault, bool active)
{
    if (fault == Fault::CutFromPlatform) {
        world.setCut(0, world.platform(), active);
    } else if (fault == Fault::CutOff) {
        for (std::size_t n = 1; n <= domains; ++n) {
            world.setCut(0, n, active);
        }
    } else if (fault == Fault::StoreOutage) {
        world.setLogMode(active ? LogMode::Refusing : LogMode::Up);
    } else if (fault == Fault::DaemonKilled && active) {
        world.killDaemon(0);
    }
}

/** A submission that may have to be retried. */
struct Pending {
    std::size_t call = 0; ///< Index of its last call in the journal.
    Milliseconds retryAt = notYet; ///< Set when the call has failed.
};

/** Succeeded tasks and violated invariants of one run. */
struct WorkDone {
    std::size_t tasks = 0; ///< Tasks that succeeded in the whole run.
    std::size_t duringFault = 0; ///< Tasks that succeeded while the fault was active.
    std::size_t violations = 0; ///< Violations that the oracle found.
};

/** Retries refused calls after a pause; drops those that were accepted. */
void retry(Cell &cell, std::deque<Pending> &pending)
{
    std::deque<Pending> stillPending;
    for (auto it : pending) {
        const auto &call = cell.world.journal.calls[it.call];
        const bool accepted = call.state == CallState::Answered
            && (call.response.reason == Reason::None || call.response.reason == Reason::RequestRepeated);
        if (accepted) {
            continue;
        }
        if (call.state != CallState::Waiting && it.retryAt == notYet) {
            it.retryAt = cell.world.now() + retryPause;
        }
        if (call.state != CallState::Waiting && cell.world.now() >= it.retryAt) {
            const auto again = call.request;
            it = {cell.submit(call.daemon + 1, again.key, std::get<SubmitAction>(again.action)), notYet};
        }
        stillPending.push_back(it);
    }
    pending = std::move(stillPending);
}

WorkDone measure(Fault fault)
{
    WorldLayout layout;
    layout.domains = domains;
    layout.workersPerDomain = 3;
    Cell cell(layout);
    cell.world.log.faults.retention = 2 * runLength;
    const auto begin = cell.world.now();
    std::deque<Pending> pending;
    for (std::size_t n = 0; cell.world.now() < begin + runLength; ++n) {
        const auto since = cell.world.now() - begin;
        if (since == faultFrom || since == faultTo) {
            setFault(cell.world, fault, since == faultFrom);
        }
        auto submit = cell.makeSubmission("batch", Task{0, taskTime});
        submit.request = cell.world.makeId();
        submit.perTask = {2'000, 1'024, 0};
        const auto team = static_cast<std::uint8_t>(n % teamNames.size());
        pending.push_back({cell.submit(n % cell.world.daemons.size(), testKey(team), submit), notYet});
        retry(cell, pending);
        cell.pass(submitInterval);
    }
    WorkDone done;
    done.violations = cell.oracle.violations().size();
    for (const auto &it : cell.world.journal.runs) {
        if (it.outcome == Outcome::Succeeded) {
            ++done.tasks;
            done.duringFault += it.endedAt >= begin + faultFrom && it.endedAt < begin + faultTo ? 1 : 0;
        }
    }
    return done;
}

} // namespace

int main()
{
    const auto baseline = measure(Fault::None);
    std::size_t violations = baseline.violations;
    fmt::print("| fault | tasks done | share | while it lasts | share |\n| --- | --- | --- | --- | --- |\n");
    for (const auto &[fault, name] : faultTable) {
        const auto done = measure(fault);
        violations += done.violations;
        fmt::print("| {} | {} | {:.1f}% | {} | {:.1f}% |\n",
                   name,
                   done.tasks,
                   100.0 * static_cast<double>(done.tasks) / static_cast<double>(baseline.tasks),
                   done.duringFault,
                   100.0 * static_cast<double>(done.duringFault) / static_cast<double>(baseline.duringFault));
    }
    fmt::print("\n{} promises broken\n", violations);
    return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
