#include "change.h"

#include "output.h"

#include <fmt/format.h>

namespace flamingotally
{

namespace
{

constexpr Milliseconds pollInterval{200}; ///< Pause between two requests for the state of the daemons.
constexpr Milliseconds fenceMargin{1'000}; ///< Added to the fence time before an unreachable daemon counts as fenced.

/** Numbers of daemons that may still act on the state before a change. */
struct PendingDaemons {
    std::size_t behind = 0; ///< Reachable daemons that have not applied the change.
    std::size_t unreachable = 0; ///< Unreachable daemons that are not known to have applied the change.
};

/**
 * Counts the pending daemons in a response from `/v1/daemons`. A response without a list of daemons counts as one
 * daemon that is behind.
 * @param offset Offset of the change in the log.
 */
PendingDaemons countPendingDaemons(const boost::json::value &json, std::uint64_t offset)
{
    PendingDaemons pending;
    const auto *object = json.if_object();
    const auto *daemons = object ? object->if_contains("daemons") : nullptr;
    const auto *rows = daemons ? daemons->if_array() : nullptr;
    if (!rows) {
        return {1, 0};
    }
    for (const auto &row : *rows) {
        if (numberAt(row, "appliedOffset") > offset) {
            continue;
        }
        if (textAt(row, "heard") == "true") {
            ++pending.behind;
        } else {
            ++pending.unreachable;
        }
    }
    return pending;
}

/**
 * Waits until every daemon either has applied a change or has been unreachable for longer than its fence time, after
 * which it no longer acts.
 * @param offset Offset of the change in the log.
 * @return `OutcomeUnknown` when the time-out of the command expires first.
 */
ExitCode waitUntilInEffect(Session &session, std::uint64_t offset)
{
    const auto start = session.now();
    const auto status = session.call({HttpMethod::Get, "/v1/status"});
    const auto fence = Milliseconds{numberAt(status.json, "fenceMs")} + fenceMargin;
    while (!session.isPastDeadline()) {
        const auto response = session.call({HttpMethod::Get, "/v1/daemons"});
        const auto [behind, unreachable] = countPendingDaemons(response.json, offset);
        const bool isFenced = status.code == ExitCode::Ok && session.now() - start >= fence;
        if (response.code == ExitCode::Ok && behind == 0 && (unreachable == 0 || isFenced)) {
            const auto waited = (session.now() - start).count();
            fmt::print(stderr,
                       "change in effect on all reachable daemons after {} ms; unreachable daemons, all fenced: {}\n",
                       waited,
                       unreachable);
            return ExitCode::Ok;
        }
        session.pause(pollInterval);
    }
    fmt::print(stderr, "flamingoctl: time-out before the change was known to be in effect on all daemons\n");
    return ExitCode::OutcomeUnknown;
}

} // namespace

BaseVersion readBase(Session &session, const std::string &path)
{
    BaseVersion base;
    const auto response = session.call({HttpMethod::Get, path});
    if (response.code == ExitCode::Ok) {
        base.version = numberAt(response.json, "version");
        base.current = response.json;
    } else if (response.status != 404) {
        printError(session, response);
        base.code = response.code;
    }
    base.version = session.options().expectedVersion.value_or(base.version);
    return base;
}

ExitCode applyChange(Session &session, const CtlRequest &request)
{
    const auto response = session.call(request);
    const auto code = print(session, response, [](const boost::json::value &json) {
        fmt::print("offset: {}\nversion: {}\n", numberAt(json, "offset"), numberAt(json, "version"));
    });
    if (code != ExitCode::Ok || !session.options().waitEverywhere) {
        return code;
    }
    return waitUntilInEffect(session, numberAt(response.json, "offset"));
}

} // namespace flamingotally
