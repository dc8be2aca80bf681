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

/**
 * Publishes a profile.
 * @param text The profile in TOML.
 * @param version Version that the change is based on.
 */
ExitCode publishText(Session &session, const std::string &name, std::string text, std::uint64_t version)
{
    CtlRequest request{HttpMethod::Put, profilePath(name)};
    request.query = versionQuery(version);
    request.body = std::move(text);
    request.contentType = "application/toml";
    return applyChange(session, request);
}

/**
 * Reads the TOML text of an earlier version of a profile from the history.
 * @return The text; `std::nullopt`, after printing an error, when the history does not contain the version.
 */
std::optional<std::string> readProfileVersion(Session &session, const std::string &name, std::uint64_t version)
{
    const std::vector<HttpField> query{{"subject", name}, {"most", "10000"}};
    const auto response = session.call({HttpMethod::Get, "/v1/history", query});
    if (response.code != ExitCode::Ok) {
        printError(session, response);
        return std::nullopt;
    }
    for (const auto &it : response.json.as_object().at("history").as_array()) {
        if (textAt(it, "change") == "profile_published" && numberAt(it, "version") == version) {
            return textAt(it, "detail");
        }
    }
    fmt::print(stderr, "flamingoctl: the history does not contain version {} of profile {}\n", version, name);
    return std::nullopt;
}

std::vector<std::string> splitLines(const std::string &text)
{
    return absl::StrSplit(text, '\n', absl::SkipEmpty());
}

/**
 * Prints those lines of a text that another text does not contain.
 * @param mark Printed in front of each line.
 * @param others Lines of the other text.
 */
void printLinesNotIn(char mark, const std::vector<std::string> &lines, const std::vector<std::string> &others)
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
    return base.code != ExitCode::Ok ? base.code : publishText(session, arguments[0], *std::move(text), base.version);
}

ExitCode showProfile(Session &session, const Arguments &arguments)
{
    const auto response = session.call({HttpMethod::Get, profilePath(arguments[0])});
    return print(session, response, [](const boost::json::value &json) {
        fmt::print("# version {}{}\n", numberAt(json, "version"), textAt(json, "deleted") == "true" ? ", deleted" : "");
        fmt::print("{}", textAt(json, "source"));
    });
}

ExitCode diffProfile(Session &session, const Arguments &arguments)
{
    const auto earlier = readProfileVersion(session, arguments[0], session.options().toVersion);
    if (!earlier) {
        return ExitCode::NotFound;
    }
    const auto response = session.call({HttpMethod::Get, profilePath(arguments[0])});
    return print(session, response, [&](const boost::json::value &json) {
        const auto old = splitLines(*earlier);
        const auto current = splitLines(textAt(json, "source"));
        printLinesNotIn('-', old, current);
        printLinesNotIn('+', current, old);
    });
}

ExitCode rollBackProfile(Session &session, const Arguments &arguments)
{
    auto earlier = readProfileVersion(session, arguments[0], session.options().toVersion);
    if (!earlier) {
        return ExitCode::NotFound;
    }
    const auto base = readBase(session, profilePath(arguments[0]));
    return base.code != ExitCode::Ok ? base.code
                                     : publishText(session, arguments[0], *std::move(earlier), base.version);
}

ExitCode deleteProfile(Session &session, const Arguments &arguments)
{
    const auto base = readBase(session, profilePath(arguments[0]));
    if (base.code != ExitCode::Ok) {
        return base.code;
    }
    return applyChange(session, {HttpMethod::Delete, profilePath(arguments[0]), versionQuery(base.version)});
}

ExitCode listProfiles(Session &session, const Arguments &)
{
    return printList(session, session.call({HttpMethod::Get, "/v1/profiles"}), "profiles", profileColumns);
}

} // namespace flamingotally
