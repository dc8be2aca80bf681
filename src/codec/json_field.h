/** @file json_field.h Reads and writes JSON objects by tables of fields. */
#pragma once

#include "core/error.h"
#include "core/field_table.h"

#include <absl/status/statusor.h>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace flamingotally
{

/** Value of a JSON value; monostate when it is neither text, whole number nor flag. */
FieldValue toFieldValue(const boost::json::value &value);

/** JSON value of a field. */
boost::json::value toJson(const FieldValue &value);

/** Makes the error of a malformed body. */
absl::Status jsonError(std::string_view message);

/**
 * Parses a body that must be one JSON object.
 * @param body The body, as it came.
 */
absl::StatusOr<boost::json::object> parseJsonObject(std::string_view body);

/**
 * Reads one member of an object into the field that bears its name.
 * @param path Names before it, each with a dot after it, for messages.
 * @return An error that says what was expected.
 */
template<typename Rows, typename T>
absl::Status readJsonField(
    const Rows &rows, T &target, std::string_view key, const boost::json::value &value, std::string_view path = "")
{
    const auto *row = findField(rows, key);
    if (!row) {
        return jsonError(fmt::format("unknown field '{}{}'", path, key));
    }
    if (!assignField(target, *row, toFieldValue(value))) {
        return jsonError(fmt::format("bad value of '{}{}': expected {}", path, key, expectedOf(*row)));
    }
    return absl::OkStatus();
}

/** Reads a nested object, such as amounts of resources. */
template<typename Rows, typename T>
absl::Status readJsonObject(const Rows &rows, T &target, std::string_view name, const boost::json::value &value)
{
    const auto *object = value.if_object();
    if (!object) {
        return jsonError(fmt::format("bad value of '{}': expected an object", name));
    }
    const auto path = fmt::format("{}.", name);
    for (const auto &it : *object) {
        if (auto status = readJsonField(rows, target, std::string_view(it.key()), it.value(), path); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

/** Writes all fields of a table into an object. */
template<typename Rows, typename T>
void writeJsonFields(boost::json::object &object, const Rows &rows, const T &source)
{
    for (const auto &row : rows) {
        object[row.name] = toJson(fieldValueOf(source, row));
    }
}

} // namespace flamingotally
