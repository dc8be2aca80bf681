/** @file command_func.h Applying the log's records: the one place where the replicated tables change. */
#pragma once

#include "command_type.h"
#include "tables.h"

namespace flamingotally
{

/** Bounds that all daemons must share: they decide what a record does. Part of the record version. */
namespace limits
{
constexpr Milliseconds requestWindow{3'600'000}; ///< A request id older than this is refused.
constexpr Milliseconds requestClockTolerance{60'000}; ///< How far a caller's clock may run ahead of the log's.
constexpr std::uint32_t maxTasksPerJob = 1'000;
constexpr std::size_t maxPayloadBytes = 64 * 1024;
constexpr std::uint32_t recordVersion = 1; ///< Newest record version that this build applies.
constexpr std::uint32_t healthWindowEnds = 64; ///< Ends after which a worker's counts are halved.
} // namespace limits

/** Where a command stands in the log. */
struct RecordContext {
    std::uint64_t offset = 0;
    LogTime time{};
    DaemonRef proposer; ///< Unset only for the record by which a daemon joins.
};

/** Whether a command is only tested or also executed. */
enum class Phase : std::uint8_t {
    Test,
    Execute,
};

/**
 * Applies one command: tests it against the tables and, when it passes and the phase says so, executes it. The same
 * on every daemon: no clock, no random number, no local state.
 * @param tables The replicated tables.
 * @param context Where the command stands.
 * @param command The command.
 * @param phase Whether to execute.
 * @return What became of it.
 */
CommandResult
applyCommand(Tables &tables, const RecordContext &context, const Command &command, Phase phase = Phase::Execute);

/** What became of a batch. */
struct BatchResult {
    Reason reason = Reason::None; ///< Why the whole batch was passed over.
    std::vector<CommandResult> commands; ///< One each, when the batch was not passed over.
};

/**
 * Applies one record of the log and moves the position past it.
 * @param tables The replicated tables, at the record's offset.
 * @param entry The record.
 * @return What became of it.
 */
BatchResult applyEntry(Tables &tables, const LogEntry &entry);

} // namespace flamingotally
