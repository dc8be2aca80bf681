#include "output.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace flamingotally
{

namespace
{

/** Value at a path; null when a member is missing. */
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

std::string textOf(const boost::json::value &value)
{
    if (const auto *text = value.if_string()) {
        return text->empty() ? "-" : std::string(text->data(), text->size());
    }
    if (const auto *number = value.if_double()) {
        return fmt::format("{:.3f}", *number);
    }
    return boost::json::serialize(value);
}

std::vector<std::vector<std::string>> cellsOf(const boost::json::array &rows, std::span<const Column> columns)
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
    return found ? textOf(*found) : "-";
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
    const auto cells = cellsOf(*array, columns);
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
            fmt::print("{}: {}\n", std::string_view(it.key().data(), it.key().size()), textOf(it.value()));
        }
    }
}

void printAge(const boost::json::value &json)
{
    if (textAt(json, "view.fresh") == "false") {
        const auto daemon = textAt(json, "view.daemon");
        fmt::print(stderr, "what {} knows is {} ms old\n", daemon, numberAt(json, "view.ageMs"));
    }
}

void printError(const Session &session, const CtlAnswer &answer)
{
    const auto name = nameOf(exitCodeTable, answer.code);
    if (answer.status == 0) {
        fmt::print(stderr, "flamingoctl: {}: {}\n", name, answer.body);
    } else if (session.options().output == OutputForm::Json) {
        fmt::print(stderr, "{}\n", answer.body);
    } else {
        fmt::print(stderr,
                   "flamingoctl: {}: {}: {} (step {}, status {})\n",
                   name,
                   textAt(answer.json, "error.reason"),
                   textAt(answer.json, "error.text"),
                   textAt(answer.json, "error.step"),
                   answer.status);
    }
}

ExitCode
printList(const Session &session, const CtlAnswer &answer, std::string_view name, std::span<const Column> columns)
{
    return print(session, answer, [&](const boost::json::value &json) {
        const auto *rows = valueAt(json, name);
        printTable(rows ? *rows : boost::json::value(), columns);
    });
}

} // namespace flamingotally
