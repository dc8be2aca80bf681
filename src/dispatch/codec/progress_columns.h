/**
 * @file progress_columns.h How a ProgressRecord is stored: a byte a task, and rows for those only that are placed, have
 * run more than once, or have saved progress. Progress is written anew with each change, so its length is what the
 * journal costs.
 */
#pragma once

#include "dispatch/journal_type.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingotally
{

/** A task that has a run under way. */
struct PlacedRow {
    std::uint16_t task = 0; ///< Its place in the record.
    std::string worker;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(task, worker);
    }
};

/** A task whose last run has another number than usualRun() tells, or that has failed. */
struct TriedRow {
    std::uint16_t task = 0;
    dispatch::RunNumber run = 0;
    std::uint32_t failures = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(task, run, failures);
    }
};

/** A task with saved progress. */
struct SavedRow {
    std::uint16_t task = 0;
    std::string checkpoint;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(task, checkpoint);
    }
};

/** A ProgressRecord by column. */
struct ProgressColumns {
    dispatch::JobId job = 0;
    std::uint32_t occurrence = 0;
    bool begun = false;
    dispatch::OccurrenceOutcome outcome = dispatch::OccurrenceOutcome::None;
    std::string phases; ///< A TaskPhase a byte.
    std::vector<PlacedRow> placed;
    std::vector<TriedRow> tried;
    std::vector<SavedRow> saved;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(job, occurrence, begun, outcome, phases, placed, tried, saved);
    }
};

/** Splits a record of at most 65,535 tasks into columns. */
ProgressColumns columnsOf(const dispatch::ProgressRecord &record);

/**
 * Joins the columns of a record.
 * @return An error when a row names a task that is not there, or a phase that does not exist.
 */
absl::StatusOr<dispatch::ProgressRecord> recordOf(const ProgressColumns &columns);

} // namespace flamingotally
