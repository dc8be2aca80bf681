#include "net/event_line.h"

#include "table/log_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingotally
{

namespace
{

bool isUnquoted(char c)
{
    return c > ' ' && c != '"' && c != '\\' && c != '=' && c != '\x7f';
}

} // namespace

std::string escapedValue(std::string_view value)
{
    if (!value.empty() && std::ranges::all_of(value, isUnquoted)) {
        return std::string(value);
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
            text += c;
        } else if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
            text += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            text += c;
        }
    }
    return text + '"';
}

std::string formatEventLine(WallTime at, const EventLine &line)
{
    auto text = fmt::format("time_ms={} level={}", at.time_since_epoch().count(), nameOf(logLevelTable, line.level));
    if (!line.daemon.empty()) {
        text += fmt::format(" daemon={}", line.daemon);
    }
    text += fmt::format(" event={}", line.event);
    if (!line.fields.empty()) {
        text += fmt::format(" {}", line.fields);
    }
    return text + '\n';
}

} // namespace flamingotally
