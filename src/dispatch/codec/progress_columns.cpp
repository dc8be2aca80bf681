#include "dispatch/codec/progress_columns.h"

#include "core/error.h"

#include <algorithm>

namespace flamingotally
{

using namespace dispatch;

namespace
{

/** Returns the number of the last run of a task that was never retried. Only tasks with another number get a row. */
RunNumber defaultRun(TaskPhase phase)
{
    return phase == TaskPhase::Placed || phase == TaskPhase::Done ? 1 : 0;
}

/** Returns the task with an index; null when the index is out of range. */
TaskProgress *taskAt(ProgressRecord &record, std::uint16_t task)
{
    return task < record.tasks.size() ? &record.tasks[task] : nullptr;
}

/** Calls a function with the task of each row and the row. Returns false when a row refers to no task of the record. */
template<typename Row, typename Function>
bool applyRows(ProgressRecord &record, const std::vector<Row> &rows, Function &&function)
{
    return std::ranges::all_of(rows, [&](const Row &row) {
        auto *task = taskAt(record, row.task);
        if (task) {
            function(*task, row);
        }
        return task != nullptr;
    });
}

absl::Status missingTaskError()
{
    return makeError(absl::StatusCode::kInvalidArgument,
                     Step::ReadLog,
                     "",
                     "progress record: row refers to a task that the record does not have");
}

} // namespace

ProgressColumns columnsOf(const ProgressRecord &record)
{
    ProgressColumns columns;
    columns.job = record.job;
    columns.occurrence = record.occurrence;
    columns.begun = record.begun;
    columns.outcome = record.outcome;
    for (std::size_t n = 0; n < record.tasks.size(); ++n) {
        const auto &it = record.tasks[n];
        const auto task = static_cast<std::uint16_t>(n);
        columns.phases.push_back(static_cast<char>(it.phase));
        if (!it.worker.empty()) {
            columns.placed.push_back({task, it.worker});
        }
        if (it.run != defaultRun(it.phase) || it.failures > 0) {
            columns.retried.push_back({task, it.run, it.failures});
        }
        if (!it.checkpoint.empty()) {
            columns.saved.push_back({task, it.checkpoint});
        }
    }
    return columns;
}

absl::StatusOr<ProgressRecord> recordOf(const ProgressColumns &columns)
{
    ProgressRecord record;
    record.job = columns.job;
    record.occurrence = columns.occurrence;
    record.begun = columns.begun;
    record.outcome = columns.outcome;
    for (const auto it : columns.phases) {
        const auto phase = static_cast<TaskPhase>(it);
        if (phase >= TaskPhase::End) {
            return makeError(
                absl::StatusCode::kInvalidArgument, Step::ReadLog, "", "progress record: invalid task phase");
        }
        record.tasks.push_back({phase, 0, defaultRun(phase), {}, {}, 0});
    }
    const bool isValid =
        applyRows(record, columns.placed, [](TaskProgress &task, const PlacedRow &row) { task.worker = row.worker; })
        && applyRows(record,
                     columns.retried,
                     [](TaskProgress &task, const RetriedRow &row) {
                         task.run = row.run;
                         task.failures = row.failures;
                     })
        && applyRows(
            record, columns.saved, [](TaskProgress &task, const SavedRow &row) { task.checkpoint = row.checkpoint; });
    if (!isValid) {
        return missingTaskError();
    }
    return record;
}

std::vector<CrashedRow> crashedRowsOf(const ProgressRecord &record)
{
    std::vector<CrashedRow> rows;
    for (std::size_t n = 0; n < record.tasks.size(); ++n) {
        if (const auto weight = record.tasks[n].crashWeight; weight > 0) {
            rows.push_back({static_cast<std::uint16_t>(n), weight});
        }
    }
    return rows;
}

absl::StatusOr<ProgressRecord> recordOf(const CrashedProgressColumns &columns)
{
    auto record = recordOf(columns.columns);
    if (!record.ok()) {
        return record;
    }
    const bool isValid = applyRows(
        *record, columns.crashed, [](TaskProgress &task, const CrashedRow &row) { task.crashWeight = row.weight; });
    if (!isValid) {
        return missingTaskError();
    }
    return record;
}

} // namespace flamingotally
