/**
 * @file faults.cpp Measures how much work is done under each fault, in percent of the work of the same run without
 * faults. Callers submit jobs at a steady rate; a submission that fails is retried at the next daemon with the same
 * request id.
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
constexpr Milliseconds faultFrom{120'000}; ///< Start of the fault, from the start of the run.
constexpr Milliseconds faultTo{420'000}; ///< End of the fault, from the start of the run.
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

/** Starts or ends a fault. A killed daemon is not started again. */
void setFault(World &world, Fault fault, bool isActive)
{
    if (fault == Fault::CutFromPlatform) {
        world.setCut(0, world.platform(), isActive);
    } else if (fault == Fault::CutOff) {
        for (std::size_t n = 1; n <= domains; ++n) {
            world.setCut(0, n, isActive);
        }
    } else if (fault == Fault::StoreOutage) {
        world.setLogMode(isActive ? LogMode::Refusing : LogMode::Up);
    } else if (fault == Fault::DaemonKilled && isActive) {
        world.killDaemon(0);
    }
}

/** A submission that was not accepted yet. */
struct PendingSubmission {
    std::size_t call = 0; ///< Index in the journal of the last call that sent the submission.
    Milliseconds retryAt = notYet; ///< Time of the next retry; notYet until the call has failed.
};

/** Work that succeeded in one run, and the promises that were violated. */
struct WorkDone {
    std::size_t tasks = 0; ///< Tasks that succeeded during the run.
    std::size_t duringFault = 0; ///< Tasks that succeeded between faultFrom and faultTo.
    std::size_t violations = 0; ///< Violations of promises that the oracle found.
};

/** Retries each failed submission after retryPause, and removes the accepted ones from the list. */
void retry(Cell &cell, std::deque<PendingSubmission> &pending)
{
    std::deque<PendingSubmission> stillPending;
    for (auto it : pending) {
        const auto &call = cell.world.journal.calls[it.call];
        const bool isAccepted = call.state == CallState::Answered
            && (call.response.reason == Reason::None || call.response.reason == Reason::RequestRepeated);
        if (isAccepted) {
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

/** Runs a cell with one fault and counts the work that was done. */
WorkDone measure(Fault fault)
{
    WorldLayout layout;
    layout.domains = domains;
    layout.workersPerDomain = 3;
    Cell cell(layout);
    cell.world.log.faults.retention = 2 * runLength;
    const auto begin = cell.world.now();
    std::deque<PendingSubmission> pending;
    for (std::size_t n = 0; cell.world.now() < begin + runLength; ++n) {
        const auto elapsed = cell.world.now() - begin;
        if (elapsed == faultFrom || elapsed == faultTo) {
            setFault(cell.world, fault, elapsed == faultFrom);
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
    fmt::print("\n{} promises violated\n", violations);
    return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
