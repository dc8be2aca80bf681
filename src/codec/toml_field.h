/** @file toml_field.h Reads TOML entries as described by field tables, and formats field values as TOML. */
#pragma once

#include "core/error.h"
#include "core/field_table.h"

#include <absl/status/statusor.h>
#include <fmt/format.h>
#include <toml++/toml.h>

#include <string>

namespace flamingotally
{

/** Converts a TOML node to a field value; monostate when it is not a string, an integer or a boolean. */
inline FieldValue toFieldValue(const toml::node &node)
{
    if (const auto text = node.value_exact<std::string>()) {
        return *text;
    }
    if (const auto number = node.value_exact<std::int64_t>()) {
        return *number;
    }
    if (const auto flag = node.value_exact<bool>()) {
        return *flag;
    }
    return {};
}

/** Makes an error that names a TOML file and a line in the file. */
inline absl::Status tomlError(const std::string &file, const toml::source_position &position, std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument,
                     Step::ReadSettings,
                     file,
                     fmt::format("{}:{}: {}", file, position.line, message));
}

/**
 * Parses a TOML text.
 * @param text The TOML text.
 * @param file Name of the file, for error messages.
 * @return The table, or an error with file and line.
 */
inline absl::StatusOr<toml::table> parseToml(std::string_view text, const std::string &file)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        return tomlError(file, error.source().begin, error.description());
    }
}

/**
 * Reads one entry of a TOML table into the field of the same name.
 * @param rows Table of the fields of `target`.
 * @param key Key of the entry.
 * @param file Name of the file, for error messages.
 * @return An error with file, line and expected value when the key is unknown or the value is not allowed.
 */
template<typename Rows, typename T>
absl::Status
readTomlField(const Rows &rows, T &target, std::string_view key, const toml::node &node, const std::string &file)
{
    const auto *row = findField(rows, key);
    if (!row) {
        return tomlError(file, node.source().begin, fmt::format("unknown key '{}'", key));
    }
    if (!assignField(target, *row, toFieldValue(node))) {
        const auto message = fmt::format("bad value of '{}': expected {}", key, expectedOf(*row));
        return tomlError(file, node.source().begin, message);
    }
    return absl::OkStatus();
}

/** Formats a field value as TOML; monostate becomes an empty text. */
inline std::string toToml(const FieldValue &value)
{
    std::ostringstream stream;
    std::visit(
        [&stream](const auto &it) {
            if constexpr (!std::is_same_v<std::remove_cvref_t<decltype(it)>, std::monostate>) {
                stream << toml::value(it);
            }
        },
        value);
    return std::move(stream).str();
}

} // namespace flamingotally
