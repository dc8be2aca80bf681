/** @file settings_field.h Reads and writes the settings in a structure of any type, as described by its field table. */
#pragma once

#include "codec/toml_field.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>

namespace flamingotally
{

/** Makes an error about a setting. */
inline absl::Status settingsError(std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "", message);
}

/**
 * Parses a value from the command line.
 * @param kind Kind of the field, which decides whether the value is a boolean, an integer or a text.
 * @param text The value, not quoted.
 * @return The value; monostate when it is not valid for the kind.
 */
inline FieldValue parseBareValue(FieldKind kind, const std::string &text)
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

/**
 * Sets the values that a TOML text contains.
 * @param rows Table of the fields of `settings`.
 * @param file Name of the file, for error messages.
 * @return An error with file and line at the first problem; the values before the problem remain set.
 */
template<typename Rows, typename T>
absl::Status readSettingsToml(const Rows &rows, T &settings, std::string_view text, const std::string &file)
{
    const auto table = parseToml(text, file);
    if (!table.ok()) {
        return table.status();
    }
    for (const auto &[key, node] : *table) {
        if (auto status = readTomlField(rows, settings, key.str(), node, file); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

/** Reads a whole file; fails when it is not there or cannot be read. */
inline absl::StatusOr<std::string> readTextFile(const std::string &path)
{
    errno = 0;
    std::ifstream stream(path);
    std::string text;
    std::array<char, 4096> buf{};
    while (stream.read(buf.data(), buf.size()) || stream.gcount() > 0) {
        text.append(buf.data(), static_cast<std::size_t>(stream.gcount()));
    }
    if (!stream.is_open() || stream.bad()) {
        return makeError(absl::StatusCode::kNotFound, Step::ReadSettings, path, std::strerror(errno));
    }
    return text;
}

/**
 * Sets one value.
 * @param assignment "key=value"; a text value is not quoted.
 * @return An error when the form is wrong, the key is unknown or the value is invalid.
 */
template<typename Rows, typename T>
absl::Status readSetting(const Rows &rows, T &settings, const std::string &assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos) {
        return settingsError(fmt::format("'{}': expected key=value", assignment));
    }
    const auto key = assignment.substr(0, equals);
    const auto *row = findField(rows, key);
    if (!row) {
        return settingsError(fmt::format("unknown key '{}'", key));
    }
    if (!assignField(settings, *row, parseBareValue(row->kind, assignment.substr(equals + 1)))) {
        return settingsError(fmt::format("bad value of '{}': expected {}", key, expectedOf(*row)));
    }
    return absl::OkStatus();
}

/** Formats settings as TOML. A comment above each setting states meaning, unit and bounds. Secrets are omitted. */
template<typename Rows, typename T>
std::string writeSettings(const Rows &rows, const T &settings)
{
    std::string text;
    for (const auto &row : rows) {
        text += fmt::format("# {} Expected: {}.\n", row.text, expectedOf(row));
        if (row.kind == FieldKind::Secret) {
            text += fmt::format("# {} is not printed.\n", row.name);
            continue;
        }
        text += fmt::format("{} = {}\n", row.name, toToml(fieldValueOf(settings, row)));
    }
    return text;
}

} // namespace flamingotally
