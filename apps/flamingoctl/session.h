/** @file session.h Sends the requests of one command to the servers, one at a time. */
#pragma once

#include "exit_code.h"
#include "net/clock.h"
#include "net/http_client.h"
#include "options.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <optional>
#include <string>

namespace flamingotally
{

/** A request that a command sends. */
struct CtlRequest {
    HttpMethod method = HttpMethod::Get;
    std::string path;
    std::vector<HttpField> query{};
    std::string body{};
    std::string contentType = "application/json";
    std::string id{}; ///< Value of the header Idempotency-Key; empty to omit the header.
};

/** Result of a request. */
struct CtlResponse {
    ExitCode code = ExitCode::Failed;
    unsigned status = 0; ///< HTTP status code; zero when no response arrived.
    std::string body; ///< Body of the response; an error message when no response arrived.
    boost::json::value json; ///< The parsed body; null when the body is not JSON.
};

/** Sends the requests of a command. All requests share one deadline, which the time-out of the command sets. */
class Session
{
public:
    explicit Session(CtlOptions options);

    const CtlOptions &options() const
    {
        return m_options;
    }

    /**
     * Sends a request to the first server and, if that fails, to the others in turn. The next server is tried only when
     * the previous one certainly did not execute the request, or when the outcome is unknown and the request may be
     * repeated: a read, or a submission with an id.
     * @return The response of the last server that was tried.
     */
    CtlResponse call(const CtlRequest &request);

    /** Blocks the calling thread for a duration. */
    void pause(Milliseconds duration);

    /** Returns whether the time-out of the command has expired. */
    bool isPastDeadline() const;

    MonotonicTime now() const
    {
        return m_clock.now();
    }

    /** Makes a request id, a UUID of version 7, from the current time. */
    std::string makeId() const;

private:
    CtlResponse callServer(const std::string &server, const CtlRequest &request);

    CtlOptions m_options;
    SystemClock m_clock;
    MonotonicTime m_deadline;
    boost::asio::io_context m_io;
    HttpClient m_client;
};

} // namespace flamingotally
