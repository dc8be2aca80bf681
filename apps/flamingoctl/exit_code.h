/** @file exit_code.h Exit codes of flamingoctl, by kind of failure. */
#pragma once

#include "core/enum_table.h"

#include <cstdint>

namespace flamingotally
{

/** How the command ended. */
enum class ExitCode : std::uint8_t {
    Ok,
    Failed,
    Usage,
    Refused,
    NotAllowed,
    NotFound,
    Conflict,
    Unavailable,
    OutcomeUnknown,
    JobFailed,
    End,
};

/** What is said of an exit code. */
struct ExitCodeRow {
    ExitCode value; ///< Also the code itself.
    std::string_view name;
    std::string_view text; ///< One sentence for people.
};

constexpr EnumTable<ExitCode, ExitCodeRow> exitCodeTable{{
    {ExitCode::Ok, "ok", "Done."},
    {ExitCode::Failed, "failed", "Something else went wrong."},
    {ExitCode::Usage, "usage", "The command line is wrong."},
    {ExitCode::Refused, "refused", "The request has a value that is not allowed."},
    {ExitCode::NotAllowed, "not_allowed", "The key is missing, unknown, withdrawn, or does not allow this."},
    {ExitCode::NotFound, "not_found", "There is no such thing, or it is no longer kept."},
    {ExitCode::Conflict, "conflict", "Somebody else changed it, or its state does not allow this."},
    {ExitCode::Unavailable, "unavailable", "No server takes it now; nothing was done; try again later."},
    {ExitCode::OutcomeUnknown, "outcome_unknown", "The answer was lost; ask again with the same id."},
    {ExitCode::JobFailed, "job_failed", "The job has ended without success."},
}};
static_assert(isComplete(exitCodeTable));

/** Exit code for the status of an answer. */
constexpr ExitCode exitCodeOf(unsigned status)
{
    switch (status) {
    case 401:
    case 403:
        return ExitCode::NotAllowed;
    case 404:
    case 410:
        return ExitCode::NotFound;
    case 409:
        return ExitCode::Conflict;
    case 429:
    case 503:
        return ExitCode::Unavailable;
    case 502:
    case 504:
        return ExitCode::OutcomeUnknown;
    default:
        return status < 300 ? ExitCode::Ok : status < 500 ? ExitCode::Refused : ExitCode::Failed;
    }
}

} // namespace flamingotally
