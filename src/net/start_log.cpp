#include "net/start_log.h"

#include "net/clock.h"
#include "net/event_line.h"
#include "table/start_table.h"
#include "table/step_table.h"

#include <boost/asio/error.hpp>
#include <fmt/format.h>

#include <unistd.h>

namespace flamingotally
{

namespace
{

/** Returns the key under which the log gives the peer of an error: its address, or the path of a file. */
std::string_view peerKey(Step step)
{
    return step == Step::Listen ? "address" : "path";
}

std::string fieldsOf(const absl::Status &error, std::string_view next)
{
    const auto step = stepOf(error);
    const auto peer = peerOf(error);
    std::string fields;
    if (step != Step::End) {
        fields += fmt::format("step={} ", nameOf(stepTable, step));
    }
    if (!peer.empty()) {
        fields += fmt::format("{}={} ", peerKey(step), escapedValue(peer));
    }
    return fields
        + fmt::format("failure={} cause={} next={}",
                      nameOf(startFailureTable, startFailureOf(error)),
                      escapedValue(messageOf(error)),
                      escapedValue(next));
}

} // namespace

absl::Status listenError(const std::string &address, const boost::system::error_code &ec)
{
    const bool isTaken = ec == boost::asio::error::address_in_use;
    const auto code = isTaken ? absl::StatusCode::kUnavailable : absl::StatusCode::kFailedPrecondition;
    return makeError(code, Step::Listen, address, ec.message());
}

absl::Status addressFormError(const std::string &address)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::Listen, address, "not an address of the form IP:port");
}

absl::Status usageError(std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadArguments, "", message);
}

absl::Status unexpectedError(std::string_view message)
{
    return makeError(absl::StatusCode::kInternal, Step::End, "", message);
}

StartFailure startFailureOf(const absl::Status &error)
{
    switch (error.code()) {
    case absl::StatusCode::kInvalidArgument:
        return stepOf(error) == Step::ReadArguments ? StartFailure::Usage : StartFailure::SettingsRefused;
    case absl::StatusCode::kNotFound:
        return StartFailure::SettingsUnreadable;
    case absl::StatusCode::kUnavailable:
        return StartFailure::AddressTaken;
    case absl::StatusCode::kFailedPrecondition:
        return StartFailure::AddressUnavailable;
    default:
        return StartFailure::UnexpectedError;
    }
}

int exitStatusOf(const absl::Status &error)
{
    return rowOf(startFailureTable, startFailureOf(error)).exitStatus;
}

std::string exitStatusHelp()
{
    std::string text = "Exit statuses:\n  0   The daemon was stopped by a signal, or has printed what was asked for.\n";
    for (const auto &row : startFailureTable) {
        text += fmt::format("  {:<3} {}\n", row.exitStatus, row.text);
    }
    return text;
}

void StartLog::waits(const absl::Status &error, Milliseconds limit) const
{
    write(StartEvent::Waits, error, fmt::format("tries again for {} ms at most", limit.count()));
}

void StartLog::resumed(const absl::Status &error, Milliseconds waited) const
{
    write(StartEvent::Resumed, error, fmt::format("goes on after {} ms", waited.count()));
}

int StartLog::failed(const absl::Status &error) const
{
    const int status = exitStatusOf(error);
    write(StartEvent::Failed, error, fmt::format("exits with status {}", status));
    return status;
}

void StartLog::write(StartEvent event, const absl::Status &error, std::string_view next) const
{
    const auto &row = rowOf(startEventTable, event);
    const auto line = formatEventLine(SystemClock().wallNow(), {row.level, m_daemon, row.name, fieldsOf(error, next)});
    // a short line is written whole or, when no reader takes it, not at all
    [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
}

} // namespace flamingotally
