#include "output.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace flamingotally
{

namespace
{

/** Returns the value at a path; `nullptr` when a member is missing. */
const boost::json::value *valueAt(const boost::json::value &value, std::string_view path)
{
    const auto *found = &value;
    while (found && !path.empty()) {
        const auto dot = path.find('.');
        const auto name = path.substr(0, dot);
        path = dot == std::string_view::npos ? std::string_view() : path.substr(dot + 1);
        const auto *object = found->if_object();
        found = object ? object->if_contains(boost::json::string_view(name.data(), name.size())) : nullptr;
    }
    return found;
}

/** Formats a JSON value for display: "-" for an empty string, three decimals for a floating-point number. */
std::string formatValue(const boost::json::value &value)
{
    if (const auto *text = value.if_string()) {
        return text->empty() ? "-" : std::string(text->data(), text->size());
    }
    if (const auto *number = value.if_double()) {
        return fmt::format("{:.3f}", *number);
    }
    return boost::json::serialize(value);
}

/** Formats the cells of a table, line by line; the first line contains the headings. */
std::vector<std::vector<std::string>> formatCells(const boost::json::array &rows, std::span<const Column> columns)
{
    std::vector<std::vector<std::string>> cells(1);
    for (const auto &it : columns) {
        cells[0].emplace_back(it.heading);
    }
    for (const auto &row : rows) {
        auto &line = cells.emplace_back();
        for (const auto &it : columns) {
            line.push_back(textAt(row, it.path));
        }
    }
    return cells;
}

} // namespace

std::string textAt(const boost::json::value &value, std::string_view path)
{
    const auto *found = valueAt(value, path);
    return found ? formatValue(*found) : "-";
}

std::uint64_t numberAt(const boost::json::value &value, std::string_view path)
{
    const auto *found = valueAt(value, path);
    if (!found) {
        return 0;
    }
    const auto *number = found->if_int64();
    return number ? static_cast<std::uint64_t>(*number) : found->is_uint64() ? found->get_uint64() : 0;
}

void printTable(const boost::json::value &rows, std::span<const Column> columns)
{
    const auto *array = rows.if_array();
    if (!array) {
        return;
    }
    const auto cells = formatCells(*array, columns);
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto &line : cells) {
        for (std::size_t n = 0; n < line.size(); ++n) {
            widths[n] = std::max(widths[n], line[n].size());
        }
    }
    for (const auto &line : cells) {
        std::string text;
        for (std::size_t n = 0; n < line.size(); ++n) {
            text += n + 1 < line.size() ? fmt::format("{:<{}}  ", line[n], widths[n]) : line[n];
        }
        fmt::print("{}\n", text);
    }
}

void printObject(const boost::json::value &object)
{
    const auto *members = object.if_object();
    if (!members) {
        return;
    }
    for (const auto &it : *members) {
        if (!it.value().is_array() && it.key() != "view") {
            fmt::print("{}: {}\n", std::string_view(it.key().data(), it.key().size()), formatValue(it.value()));
        }
    }
}

void printAge(const boost::json::value &json)
{
    if (textAt(json, "view.fresh") == "false") {
        const auto daemon = textAt(json, "view.daemon");
        fmt::print(stderr, "data from daemon {} is {} ms old\n", daemon, numberAt(json, "view.ageMs"));
    }
}

void printError(const Session &session, const CtlResponse &response)
{
    const auto name = nameOf(exitCodeTable, response.code);
    if (response.status == 0) {
        fmt::print(stderr, "flamingoctl: {}: {}\n", name, response.body);
    } else if (session.options().output == OutputFormat::Json) {
        fmt::print(stderr, "{}\n", response.body);
    } else {
        fmt::print(stderr,
                   "flamingoctl: {}: {}: {} (step {}, status {})\n",
                   name,
                   textAt(response.json, "error.reason"),
                   textAt(response.json, "error.text"),
                   textAt(response.json, "error.step"),
                   response.status);
    }
}

ExitCode
printList(const Session &session, const CtlResponse &response, std::string_view name, std::span<const Column> columns)
{
    return print(session, response, [&](const boost::json::value &json) {
        const auto *rows = valueAt(json, name);
        printTable(rows ? *rows : boost::json::value(), columns);
    });
}

} // namespace flamingotally
