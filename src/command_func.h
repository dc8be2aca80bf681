/** @file command_func.h Applies the records of the log. Nothing else changes the replicated tables. */
#pragma once

#include "command_type.h"
#include "tables.h"

namespace flamingotally
{

/** Limits that must be equal on all daemons, because they decide the effect of a record. Part of the record version. */
namespace limits
{
constexpr Milliseconds requestWindow{3'600'000}; ///< Age of a request id above which it is refused.
/** Longest time that a caller's clock may be ahead of the log's clock. */
constexpr Milliseconds requestClockTolerance{60'000};
constexpr std::uint32_t maxTasksPerJob = 1'000;
constexpr std::size_t maxPayloadBytes = 64 * 1024;
constexpr std::uint32_t recordVersion = 1; ///< Newest record version that this build applies.
/** Number of counted attempts of a worker at which its health counters are halved. */
constexpr std::uint32_t healthWindowEnds = 64;
} // namespace limits

/** Position of a command in the log, and its proposer. */
struct RecordContext {
    std::uint64_t offset = 0; ///< Offset of the record.
    LogTime time{}; ///< Latest time at which the log stored this record or an earlier one.
    DaemonRef proposer; ///< Daemon that appended the record. Unset only when the record is its first join.
};

/** Selects whether a command is only tested, or tested and then executed. */
enum class Phase : std::uint8_t {
    Test,
    Execute,
};

/**
 * Applies one command: tests it against the tables and, if it passes and `phase` is Phase::Execute, executes it. The
 * effect is the same on every daemon: it depends on no clock, random number or local state.
 * @param tables The replicated tables.
 * @param context Position of the command in the log, and its proposer.
 * @param command The command.
 * @param phase Whether to execute the command after the test.
 * @return Result of the command.
 */
CommandResult
applyCommand(Tables &tables, const RecordContext &context, const Command &command, Phase phase = Phase::Execute);

/** Result of applying a batch. */
struct BatchResult {
    Reason reason = Reason::None; ///< Reason for which the complete batch was skipped; `None` when it was applied.
    std::vector<CommandResult> commands; ///< One result for each command, unless the batch was skipped.
};

/**
 * Applies one record of the log and advances the position past it.
 * @param tables The replicated tables, at the record's offset.
 * @param entry The record. A record that is not readable only advances the position and the time.
 * @return Result of the batch.
 */
BatchResult applyEntry(Tables &tables, const LogEntry &entry);

} // namespace flamingotally
