/** @file fuzz.h A cell that takes random acts of callers, operators and faults, each followed by a check. */
#pragma once

#include "fakes/cell.h"

#include <iosfwd>

namespace flamingotally::fakes
{

/** What may be done to a cell. Names and weights: actTable. */
enum class ActKind : std::uint8_t {
    Submit,
    SubmitAtTwo,
    SubmitOtherBody,
    SubmitAgain,
    Wait,
    CancelWave,
    SetLimit,
    TakeDomainOut,
    TakeDomainIn,
    GrantKey,
    WithdrawKey,
    PublishProfile,
    KillDaemon,
    StopDaemon,
    StartDaemons,
    PauseDaemon,
    PauseInTick,
    ResumeDaemons,
    CutFromPlatform,
    CutDomains,
    CutDomainOff,
    MendLinks,
    LogSilent,
    LogRefusing,
    LogSlow,
    LogLosesAnswers,
    MendLog,
    LateMessages,
    LoseHeartbeats,
    MendNetwork,
    FailAll,
    FailRunning,
    KillWorker,
    PauseWorker,
    MendWorkers,
    MarkLeaving,
    TakeBack,
    Pass,
    End,
};

/** One act. What its numbers choose depends on the cell, so that any list of acts can be done. */
struct Act {
    ActKind kind = ActKind::Pass;
    std::uint32_t which = 0;
    std::uint32_t how = 0;
};

std::ostream &operator<<(std::ostream &stream, const Act &act);

/** Weight of a kind of act against the others. */
int weightOf(ActKind kind);

/** A cell under fuzzing. */
class FuzzedCell
{
public:
    explicit FuzzedCell(std::uint64_t seed);

    /** Does one act, lets a little time pass, and checks. */
    void perform(const Act &act);

    Cell cell;

private:
    void submit(const Act &act);
    void submitAgain(const Act &act);
    void cancelWave(const Act &act);
    void actOnCallers(const Act &act);
    void actOnOperators(const Act &act);
    void actOnDaemons(const Act &act);
    void actOnPlatform(const Act &act);
    void actOnWorkers(const Act &act);

    World &m_world;
    std::uint8_t m_keys = static_cast<std::uint8_t>(teamNames.size()); ///< Granted so far.
};

} // namespace flamingotally::fakes
