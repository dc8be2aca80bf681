#include "change.h"
#include "commands.h"
#include "core/error.h"
#include "output.h"

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>

namespace flamingotally
{

namespace
{

constexpr std::array profileColumns = {
    Column{"PROFILE", "name"},
    Column{"VERSION", "version"},
    Column{"DELETED", "deleted"},
    Column{"KIND", "spec.kind"},
    Column{"ACCESS", "spec.access"},
    Column{"URGENCY", "spec.urgency"},
    Column{"TEAM", "spec.team"},
    Column{"WAITING", "waitingTasks"},
    Column{"PLACED", "placedTasks"},
};

std::string profilePath(const std::string &name)
{
    return "/v1/profiles/" + name;
}

std::vector<HttpField> versionQuery(std::uint64_t version)
{
    return {{"expectedVersion", std::to_string(version)}};
}

ExitCode publish(Session &session, const std::string &name, std::string text, std::uint64_t version)
{
    CtlCall call{HttpMethod::Put, profilePath(name)};
    call.query = versionQuery(version);
    call.body = std::move(text);
    call.contentType = "application/toml";
    return change(session, call);
}

/** Text of an earlier version out of the history; nothing when it is not there, which is told. */
std::optional<std::string> readVersion(Session &session, const std::string &name, std::uint64_t version)
{
    const std::vector<HttpField> query{{"subject", name}, {"most", "10000"}};
    const auto answer = session.call({HttpMethod::Get, "/v1/history", query});
    if (answer.code != ExitCode::Ok) {
        printError(session, answer);
        return std::nullopt;
    }
    for (const auto &it : answer.json.as_object().at("history").as_array()) {
        if (textAt(it, "change") == "profile_published" && numberAt(it, "version") == version) {
            return textAt(it, "detail");
        }
    }
    fmt::print(stderr, "flamingoctl: the history has no version {} of profile {}\n", version, name);
    return std::nullopt;
}

std::vector<std::string> linesOf(const std::string &text)
{
    return absl::StrSplit(text, '\n', absl::SkipEmpty());
}

/** Prints the lines of one text that the other has not. */
void printMissing(char mark, const std::vector<std::string> &lines, const std::vector<std::string> &others)
{
    for (const auto &it : lines) {
        if (std::ranges::find(others, it) == others.end()) {
            fmt::print("{}{}\n", mark, it);
        }
    }
}

} // namespace

ExitCode publishProfile(Session &session, const Arguments &arguments)
{
    auto text = readFile(arguments[1]);
    if (!text.ok()) {
        fmt::print(stderr, "flamingoctl: {}\n", messageOf(text.status()));
        return ExitCode::Usage;
    }
    const auto base = readBase(session, profilePath(arguments[0]));
    return base.code != ExitCode::Ok ? base.code : publish(session, arguments[0], *std::move(text), base.version);
}

ExitCode showProfile(Session &session, const Arguments &arguments)
{
    const auto answer = session.call({HttpMethod::Get, profilePath(arguments[0])});
    return print(session, answer, [](const boost::json::value &json) {
        fmt::print("# version {}{}\n", numberAt(json, "version"), textAt(json, "deleted") == "true" ? ", deleted" : "");
        fmt::print("{}", textAt(json, "source"));
    });
}

ExitCode diffProfile(Session &session, const Arguments &arguments)
{
    const auto earlier = readVersion(session, arguments[0], session.options().toVersion);
    if (!earlier) {
        return ExitCode::NotFound;
    }
    const auto answer = session.call({HttpMethod::Get, profilePath(arguments[0])});
    return print(session, answer, [&](const boost::json::value &json) {
        const auto old = linesOf(*earlier);
        const auto now = linesOf(textAt(json, "source"));
        printMissing('-', old, now);
        printMissing('+', now, old);
    });
}

ExitCode rollBackProfile(Session &session, const Arguments &arguments)
{
    auto earlier = readVersion(session, arguments[0], session.options().toVersion);
    if (!earlier) {
        return ExitCode::NotFound;
    }
    const auto base = readBase(session, profilePath(arguments[0]));
    return base.code != ExitCode::Ok ? base.code : publish(session, arguments[0], *std::move(earlier), base.version);
}

ExitCode deleteProfile(Session &session, const Arguments &arguments)
{
    const auto base = readBase(session, profilePath(arguments[0]));
    if (base.code != ExitCode::Ok) {
        return base.code;
    }
    return change(session, {HttpMethod::Delete, profilePath(arguments[0]), versionQuery(base.version)});
}

ExitCode listProfiles(Session &session, const Arguments &)
{
    return printList(session, session.call({HttpMethod::Get, "/v1/profiles"}), "profiles", profileColumns);
}

} // namespace flamingotally
