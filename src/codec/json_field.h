/** @file json_field.h Reads and writes JSON objects as described by field tables. */
#pragma once

#include "core/error.h"
#include "core/field_table.h"

#include <absl/status/statusor.h>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace flamingotally
{

/** Converts a JSON value to a field value; monostate when it is not a string, a signed 64-bit integer or a boolean. */
FieldValue toFieldValue(const boost::json::value &value);

/** Converts a field value to JSON; monostate becomes null. */
boost::json::value toJson(const FieldValue &value);

/** Makes the error for a malformed request body. */
absl::Status jsonError(std::string_view message);

/**
 * Parses a body that must be one JSON object.
 * @param body The body as received.
 * @return The object; an error when the body is not JSON or not an object.
 */
absl::StatusOr<boost::json::object> parseJsonObject(std::string_view body);

/**
 * Reads one member of a JSON object into the field of the same name.
 * @param rows Table of the fields of `target`.
 * @param key Name of the member.
 * @param path Names of the enclosing members, each followed by a dot, for error messages.
 * @return An error that names the field and the expected value when the field is unknown or the value is not allowed.
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

/**
 * Reads the members of a nested object, such as amounts of resources, into the fields of the same names.
 * @param rows Table of the fields of `target`.
 * @param name Name of the member that contains the object, for error messages.
 */
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

/** Adds every field that the table lists to a JSON object. */
template<typename Rows, typename T>
void writeJsonFields(boost::json::object &object, const Rows &rows, const T &source)
{
    for (const auto &row : rows) {
        object[row.name] = toJson(fieldValueOf(source, row));
    }
}

} // namespace flamingotally
