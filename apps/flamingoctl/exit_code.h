/** @file exit_code.h Exit codes of flamingoctl, one for each kind of failure. */
#pragma once

#include "core/enum_table.h"

#include <cstdint>

namespace flamingotally
{

/** Result of a command. The number of each enumerator is the exit code of the process. */
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

/** Properties of an exit code. */
struct ExitCodeRow {
    ExitCode value;
    std::string_view name;
    std::string_view text; ///< Help sentence.
};

constexpr EnumTable<ExitCode, ExitCodeRow> exitCodeTable{{
    {ExitCode::Ok, "ok", "Done."},
    {ExitCode::Failed, "failed", "Another error occurred."},
    {ExitCode::Usage, "usage", "The command line is invalid."},
    {ExitCode::Refused, "refused", "The request has a value that is not allowed."},
    {ExitCode::NotAllowed, "not_allowed", "The key is missing, unknown, withdrawn, or does not allow this."},
    {ExitCode::NotFound, "not_found", "The object does not exist or is no longer retained."},
    {ExitCode::Conflict, "conflict", "Someone else changed the object, or its state does not allow this."},
    {ExitCode::Unavailable, "unavailable", "No server accepts the request now; nothing was done; try again later."},
    {ExitCode::OutcomeUnknown, "outcome_unknown", "The response was lost; repeat the request with the same id."},
    {ExitCode::JobFailed, "job_failed", "The job has ended without success."},
}};
static_assert(isComplete(exitCodeTable));

/**
 * Returns the exit code for a response.
 * @param status HTTP status code.
 */
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
