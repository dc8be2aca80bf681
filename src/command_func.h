/** @file command_func.h Application of the log's records. The replicated tables change nowhere else. */
#pragma once

#include "command_type.h"
#include "tables.h"

namespace flamingotally
{

/** Limits that must be equal on all daemons, because they decide the effect of a record. Part of the record version. */
namespace limits
{
constexpr Milliseconds requestWindow{3'600'000}; ///< Age above which a request id is refused.
constexpr Milliseconds requestClockTolerance{60'000}; ///< Largest lead of a caller's clock over the log's.
constexpr std::uint32_t maxTasksPerJob = 1'000;
constexpr std::size_t maxPayloadBytes = 64 * 1024;
constexpr std::uint32_t recordVersion = 1; ///< Newest record version that this build applies.
constexpr std::uint32_t healthWindowEnds = 64; ///< Number of ends at which a worker's health counters are halved.
} // namespace limits

/** Position of a command in the log, and its proposer. */
struct RecordContext {
    std::uint64_t offset = 0; ///< Offset of the record.
    LogTime time{}; ///< Time of the record, or of an earlier one if that is later.
    DaemonRef proposer; ///< Unset only for the record with which a daemon joins for the first time.
};

/** Selects whether a command is only tested or also executed. */
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
 * @param entry The record. One that is not readable only advances the position.
 * @return Result of the batch.
 */
BatchResult applyEntry(Tables &tables, const LogEntry &entry);

} // namespace flamingotally
