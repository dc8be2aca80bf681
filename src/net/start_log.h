/** @file start_log.h Errors at the start of a daemon, their lines in the log, and the exit status of the process. */
#pragma once

#include "core/error.h"
#include "core/time_type.h"
#include "start_type.h"

#include <boost/system/error_code.hpp>

#include <csignal>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace flamingotally
{

/** Makes the error for an address that a server cannot take. */
absl::Status listenError(const std::string &address, const boost::system::error_code &ec);

/** Makes the error for a text that is not an address. */
absl::Status addressFormError(const std::string &address);

/** Makes the error for an invalid command line. */
absl::Status usageError(std::string_view message);

/** Makes the error for an exception. */
absl::Status unexpectedError(std::string_view message);

/** Returns the kind of a failed start. */
StartFailure startFailureOf(const absl::Status &error);

/** Returns the exit status of a process whose start has failed. */
int exitStatusOf(const absl::Status &error);

/** Returns the table of the exit statuses, one a line, for the help text. */
std::string exitStatusHelp();

/** Writes what happens at the start to standard output, at once and without waiting for a reader. */
class StartLog
{
public:
    /** @param daemon Name of the daemon; empty while it is not known. */
    explicit StartLog(std::string daemon = {}) : m_daemon(std::move(daemon))
    {
    }

    /** Logs that a step is tried again. @param limit How long the daemon tries, from the first failure on. */
    void waits(const absl::Status &error, Milliseconds limit) const;

    /** Logs that a step has succeeded after all. @param error The error until then. @param waited Time since then. */
    void resumed(const absl::Status &error, Milliseconds waited) const;

    /** Logs that the start is given up, and returns the exit status. */
    int failed(const absl::Status &error) const;

private:
    void write(StartEvent event, const absl::Status &error, std::string_view next) const;

    std::string m_daemon;
};

/**
 * Runs the main function of a daemon. An exception ends the process with a line in the log and an exit status; a reader
 * of the log that goes away does not end it.
 */
template<typename Main>
int runLogged(Main main)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return main();
    } catch (const std::exception &error) {
        return StartLog().failed(unexpectedError(error.what()));
    }
}

} // namespace flamingotally
