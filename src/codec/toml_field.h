/** @file toml_field.h Reads TOML tables into types by their tables of fields. */
#pragma once

#include "core/error.h"
#include "core/field_table.h"

#include <absl/status/statusor.h>
#include <fmt/format.h>
#include <toml++/toml.h>

#include <string>

namespace flamingotally
{

/** Value of a TOML node; monostate when it is neither text, whole number nor flag. */
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

/** Makes the error of a place in a TOML file. */
inline absl::Status tomlError(const std::string &file, const toml::source_position &place, std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument,
                     Step::ReadSettings,
                     "",
                     fmt::format("{}:{}: {}", file, place.line, message));
}

/**
 * Parses a TOML text.
 * @param text The text.
 * @param file Name of its file, for messages.
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
 * Reads one entry of a TOML table into the field that bears its name.
 * @return An error that says what was expected.
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

/** Writes a value as TOML. */
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
