/** @file fuzz.h A cell with random actions of callers and operators and random faults, each followed by a check. */
#pragma once

#include "fakes/cell.h"

#include <iosfwd>

namespace flamingotally::fakes
{

/** Kinds of actions on a cell. Names and weights: actionTable. */
enum class FuzzActionKind : std::uint8_t {
    Submit,
    SubmitToTwoDaemons,
    SubmitOtherBody,
    Resubmit,
    Wait, ///< Waits for the job of an earlier submission.
    CancelRecent,
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
    IsolateDomain,
    RestoreLinks,
    LogSilent,
    LogRefusing,
    LogSlow,
    LogLosesAnswers,
    RestoreLog,
    LateMessages,
    LoseHeartbeats,
    RestoreNetwork,
    FailAll,
    FailRunning,
    KillWorker,
    PauseWorker,
    RestoreWorkers,
    MarkLeaving,
    ClearLeaving,
    Pass, ///< Lets time pass.
    End,
};

/** One action. Its numbers are mapped to objects that exist and to valid parameters, so that any list is valid. */
struct FuzzAction {
    FuzzActionKind kind = FuzzActionKind::Pass;
    std::uint32_t which = 0; ///< In most actions selects the object.
    std::uint32_t how = 0; ///< In most actions selects the parameters and the daemon that gets the request.
};

std::ostream &operator<<(std::ostream &stream, const FuzzAction &action);

/** Returns the relative weight of a kind of action. */
int weightOf(FuzzActionKind kind);

/** A cell on which the fuzzer performs actions. */
class FuzzedCell
{
public:
    explicit FuzzedCell(std::uint64_t seed);

    /** Performs one action, lets a little time pass, and runs the checks. */
    void perform(const FuzzAction &action);

    Cell cell;

private:
    void submit(const FuzzAction &action);
    void resubmit(const FuzzAction &action);
    void cancelRecent(const FuzzAction &action);
    void performCallerAction(const FuzzAction &action);
    void performOperatorAction(const FuzzAction &action);
    void performDaemonAction(const FuzzAction &action);
    void performPlatformAction(const FuzzAction &action);
    void performWorkerAction(const FuzzAction &action);

    World &m_world;
    std::uint8_t m_keyCount = static_cast<std::uint8_t>(teamNames.size()); ///< Number of keys that were granted.
};

} // namespace flamingotally::fakes
