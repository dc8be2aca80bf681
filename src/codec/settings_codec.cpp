#include "codec/settings_codec.h"

#include "codec/toml_field.h"
#include "table/settings_table.h"

#include <fstream>
#include <sstream>

namespace flamingotally
{

namespace
{

absl::Status invalid(std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "", message);
}

/** Reads the text of a value on the command line by the kind of its field. */
FieldValue parseBare(FieldKind kind, const std::string &text)
{
    switch (kind) {
    case FieldKind::Flag:
        return text == "true" ? FieldValue(true) : text == "false" ? FieldValue(false) : FieldValue();
    case FieldKind::Count:
    case FieldKind::Duration:
    case FieldKind::Bytes:
    case FieldKind::MilliCores:
    case FieldKind::Megabytes: {
        std::int64_t number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        return ec == std::errc{} && end == text.data() + text.size() ? FieldValue(number) : FieldValue();
    }
    default:
        return text;
    }
}

} // namespace

absl::Status SettingsBuilder::addToml(std::string_view text, const std::string &file)
{
    const auto table = parseToml(text, file);
    if (!table.ok()) {
        return table.status();
    }
    for (const auto &[key, node] : *table) {
        if (auto status = readTomlField(settingsTable, m_settings, key.str(), node, file); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status SettingsBuilder::addFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        return makeError(absl::StatusCode::kNotFound, Step::ReadSettings, "", fmt::format("cannot read {}", path));
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return addToml(text.str(), path);
}

absl::Status SettingsBuilder::addOverride(const std::string &assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos) {
        return invalid(fmt::format("'{}': expected key=value", assignment));
    }
    const auto key = assignment.substr(0, equals);
    const auto *row = findField(settingsTable, key);
    if (!row) {
        return invalid(fmt::format("unknown key '{}'", key));
    }
    if (!assignField(m_settings, *row, parseBare(row->kind, assignment.substr(equals + 1)))) {
        return invalid(fmt::format("bad value of '{}': expected {}", key, expectedOf(*row)));
    }
    return absl::OkStatus();
}

absl::StatusOr<Settings> SettingsBuilder::build() const
{
    if (m_settings.clusterSecret.empty()) {
        return invalid("clusterSecret is missing");
    }
    if (m_settings.peerTimeout <= m_settings.heartbeatInterval) {
        return invalid("peerTimeoutMs must be greater than heartbeatIntervalMs");
    }
    if (m_settings.fence <= m_settings.heartbeatInterval) {
        return invalid("fenceMs must be greater than heartbeatIntervalMs");
    }
    return m_settings;
}

std::string printSettings(const Settings &settings)
{
    std::string text;
    for (const auto &row : settingsTable) {
        text += fmt::format("# {} Expected: {}.\n", row.text, expectedOf(row));
        if (row.kind == FieldKind::Secret) {
            text += fmt::format("# {} is not printed.\n", row.name);
            continue;
        }
        text += fmt::format("{} = {}\n", row.name, toToml(fieldOf(settings, row)));
    }
    return text;
}

} // namespace flamingotally
