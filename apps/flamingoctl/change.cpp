#include "change.h"

#include "output.h"

#include <fmt/format.h>

namespace flamingotally
{

namespace
{

constexpr Milliseconds betweenReads{200};
constexpr Milliseconds fenceMargin{1'000}; ///< On top of the fence before a silent daemon counts as fenced.

/** Daemons that may still act by the state before a change. */
struct Laggards {
    std::size_t behind = 0; ///< Heard, but not as far as the change.
    std::size_t silent = 0; ///< Not heard.
};

Laggards countLaggards(const boost::json::value &json, std::uint64_t offset)
{
    Laggards laggards;
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
            ++laggards.behind;
        } else {
            ++laggards.silent;
        }
    }
    return laggards;
}

/** Waits until every daemon has applied an offset, or has been silent for so long that its fence holds it back. */
ExitCode waitEverywhere(Session &session, std::uint64_t offset)
{
    const auto since = session.now();
    const auto status = session.call({HttpMethod::Get, "/v1/status"});
    const auto fence = Milliseconds{numberAt(status.json, "fenceMs")} + fenceMargin;
    while (!session.isOverdue()) {
        const auto answer = session.call({HttpMethod::Get, "/v1/daemons"});
        const auto [behind, silent] = countLaggards(answer.json, offset);
        const bool isFenced = status.code == ExitCode::Ok && session.now() - since >= fence;
        if (answer.code == ExitCode::Ok && behind == 0 && (silent == 0 || isFenced)) {
            const auto waited = (session.now() - since).count();
            fmt::print(stderr, "in force everywhere after {} ms; daemons silent and fenced: {}\n", waited, silent);
            return ExitCode::Ok;
        }
        session.pause(betweenReads);
    }
    fmt::print(stderr, "flamingoctl: not known to be in force everywhere\n");
    return ExitCode::OutcomeUnknown;
}

} // namespace

BaseVersion readBase(Session &session, const std::string &path)
{
    BaseVersion base;
    const auto answer = session.call({HttpMethod::Get, path});
    if (answer.code == ExitCode::Ok) {
        base.version = numberAt(answer.json, "version");
        base.current = answer.json;
    } else if (answer.status != 404) {
        printError(session, answer);
        base.code = answer.code;
    }
    base.version = session.options().expectedVersion.value_or(base.version);
    return base;
}

ExitCode change(Session &session, const CtlCall &call)
{
    const auto answer = session.call(call);
    const auto code = print(session, answer, [](const boost::json::value &json) {
        fmt::print("offset: {}\nversion: {}\n", numberAt(json, "offset"), numberAt(json, "version"));
    });
    if (code != ExitCode::Ok || !session.options().waitEverywhere) {
        return code;
    }
    return waitEverywhere(session, numberAt(answer.json, "offset"));
}

} // namespace flamingotally
