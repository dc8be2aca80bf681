/** @file session.h Calls of one command to the servers, one at a time. */
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

/** One request of a command. */
struct CtlCall {
    HttpMethod method = HttpMethod::Get;
    std::string path;
    std::vector<HttpField> query{};
    std::string body{};
    std::string contentType = "application/json";
    std::string id{}; ///< Idempotency-Key; empty for none.
};

/** What came of a request. */
struct CtlAnswer {
    ExitCode code = ExitCode::Failed;
    unsigned status = 0; ///< Zero when there was no answer.
    std::string body;
    boost::json::value json; ///< The body, when it is JSON.
};

/** Makes the calls of a command. */
class Session
{
public:
    explicit Session(CtlOptions options);

    const CtlOptions &options() const
    {
        return m_options;
    }

    /**
     * Asks the servers in turn. The next one is tried only when the last has surely done nothing, or when the request
     * may be repeated: reads, and submissions with an id.
     */
    CtlAnswer call(const CtlCall &call);

    /** Lets time pass between two reads. */
    void pause(Milliseconds duration);

    /** Tells whether the command has used up its time. */
    bool isOverdue() const;

    MonotonicTime now() const
    {
        return m_clock.now();
    }

    /** Makes a request id of the present time. */
    std::string makeId() const;

private:
    CtlAnswer callOne(const std::string &server, const CtlCall &call);

    CtlOptions m_options;
    SystemClock m_clock;
    MonotonicTime m_deadline;
    boost::asio::io_context m_io;
    HttpClient m_client;
};

} // namespace flamingotally
