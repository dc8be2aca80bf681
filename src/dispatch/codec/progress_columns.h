/**
 * @file progress_columns.h The stored form of a ProgressRecord: one byte for each task, and rows only for tasks that
 * are placed, were retried or have a checkpoint. Progress is rewritten with each change, so its size dominates the cost
 * of the journal.
 */
#pragma once

#include "dispatch/journal_type.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingotally
{

/** A task that is placed. */
struct PlacedRow {
    std::uint16_t task = 0; ///< Index of the task in the record.
    std::string worker; ///< Id of the worker.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(task, worker);
    }
};

/**
 * A task with failed runs, or whose last run does not have the default number: 1 for a placed or done task, 0 for any
 * other.
 */
struct RetriedRow {
    std::uint16_t task = 0; ///< Index of the task in the record.
    dispatch::RunNumber run = 0; ///< Number of the last run.
    std::uint32_t failures = 0; ///< Number of failed runs.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(task, run, failures);
    }
};

/** A task with a checkpoint. */
struct SavedRow {
    std::uint16_t task = 0; ///< Index of the task in the record.
    std::string checkpoint;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(task, checkpoint);
    }
};

/** A task that is suspected of crashes. */
struct CrashedRow {
    std::uint16_t task = 0; ///< Index of the task in the record.
    std::uint32_t weight = 0; ///< Sum of the weights of these crashes.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(task, weight);
    }
};

/** The columns of a ProgressRecord. */
struct ProgressColumns {
    dispatch::JobId job = 0;
    std::uint32_t occurrence = 0;
    bool begun = false;
    dispatch::OccurrenceOutcome outcome = dispatch::OccurrenceOutcome::None;
    std::string phases; ///< One byte for each task: its TaskPhase.
    std::vector<PlacedRow> placed;
    std::vector<RetriedRow> retried;
    std::vector<SavedRow> saved;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(job, occurrence, begun, outcome, phases, placed, retried, saved);
    }
};

/** The columns of a ProgressRecord with tasks through which workers have crashed. Other records are stored without. */
struct CrashedProgressColumns {
    ProgressColumns columns;
    std::vector<CrashedRow> crashed;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(columns, crashed);
    }
};

/** Splits a progress record into columns. @param record At most 65,535 tasks, as their indexes have 16 bits. */
ProgressColumns columnsOf(const dispatch::ProgressRecord &record);

/**
 * Rebuilds a record from its columns.
 * @return An error when a row refers to a task that does not exist, or a phase is invalid.
 */
absl::StatusOr<dispatch::ProgressRecord> recordOf(const ProgressColumns &columns);

/** Returns the rows of the tasks through which workers have crashed. @param record At most 65,535 tasks. */
std::vector<CrashedRow> crashedRowsOf(const dispatch::ProgressRecord &record);

/** Rebuilds a record with tasks through which workers have crashed. Errors are those of the other overload. */
absl::StatusOr<dispatch::ProgressRecord> recordOf(const CrashedProgressColumns &columns);

} // namespace flamingotally
