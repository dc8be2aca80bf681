#include "net/route.h"

#include "table/route_table.h"

namespace flamingotally
{

namespace
{

constexpr std::string_view placeholder = "{}";

/**
 * Compares a path with a pattern.
 * @return Text at the placeholder, empty if the pattern has none; nullopt if the path does not match.
 */
std::optional<std::string_view> matchPath(std::string_view pattern, std::string_view path)
{
    const auto place = pattern.find(placeholder);
    if (place == std::string_view::npos) {
        return pattern == path ? std::optional<std::string_view>("") : std::nullopt;
    }
    const auto head = pattern.substr(0, place);
    const auto tail = pattern.substr(place + placeholder.size());
    if (path.size() <= head.size() + tail.size() || !path.starts_with(head) || !path.ends_with(tail)) {
        return std::nullopt;
    }
    const auto subject = path.substr(head.size(), path.size() - head.size() - tail.size());
    return subject.find('/') == std::string_view::npos ? std::optional(subject) : std::nullopt;
}

} // namespace

RouteResult findRoute(HttpMethod method, std::string_view path)
{
    RouteResult result;
    for (const auto &row : routeTable) {
        const auto subject = matchPath(row.pattern, path);
        if (!subject) {
            continue;
        }
        if (row.method == method) {
            return {RouteFault::None, {row.value, std::string(*subject)}};
        }
        result.fault = RouteFault::WrongMethod;
    }
    return result;
}

} // namespace flamingotally
