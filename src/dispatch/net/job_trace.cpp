#include "dispatch/net/job_trace.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace flamingotally
{

using namespace dispatch;

namespace
{

/** Context lines are included from this long before to this long after the job's own lines. */
constexpr std::int64_t contextMs = 2'000;
constexpr int hexadecimal = 16;

/** Returns the value of the field `name=value` of a line; empty when the line does not have it. */
std::string_view valueOf(std::string_view line, std::string_view name)
{
    for (std::size_t at = line.find(name); at != std::string_view::npos; at = line.find(name, at + 1)) {
        const auto end = at + name.size();
        const bool isField = (at == 0 || line[at - 1] == ' ') && end < line.size() && line[end] == '=';
        if (isField) {
            const auto value = line.substr(end + 1);
            return value.substr(0, value.find(' '));
        }
    }
    return {};
}

/** Parses a number; zero if the text does not begin with one. */
template<typename Number>
Number numberOf(std::string_view text, int base)
{
    Number number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, base);
    return number;
}

bool isAboutOwner(EventKind kind)
{
    return kind == EventKind::OwnershipTaken || kind == EventKind::OwnershipLost;
}

bool isAboutDaemon(EventKind kind)
{
    switch (kind) {
    case EventKind::Started:
    case EventKind::Stopped:
    case EventKind::StoreLost:
    case EventKind::StoreRegained:
        return true;
    default:
        return false;
    }
}

bool isAboutWorker(EventKind kind)
{
    return kind == EventKind::WorkerLost || kind == EventKind::WorkerRegained || kind == EventKind::WorkerRestarted
        || kind == EventKind::WorkerReinstated;
}

/** Returns true if line `a` of a job's trace comes before line `b`: the acceptance first, then sorted by time. */
bool sortsBefore(const TraceLine &a, const TraceLine &b)
{
    const bool isFirstA = a.kind == EventKind::JobAccepted;
    const bool isFirstB = b.kind == EventKind::JobAccepted;
    if (isFirstA != isFirstB && a.job == b.job) {
        return isFirstA;
    }
    return a.timeMs < b.timeMs;
}

} // namespace

std::optional<TraceLine> parseTraceLine(std::string_view line)
{
    constexpr std::string_view eventName = "event=";
    const auto kind = valueFromName(eventKindTable, valueOf(line, "event"));
    const auto time = valueOf(line, "time_ms");
    if (!kind || time.empty()) {
        return std::nullopt;
    }
    TraceLine it;
    it.timeMs = numberOf<std::int64_t>(time, 10);
    it.daemon = valueOf(line, "daemon");
    it.kind = *kind;
    it.job = numberOf<JobId>(valueOf(line, "job"), hexadecimal);
    it.worker = valueOf(line, "worker");
    const auto fields = line.substr(line.find(eventName));
    const auto space = fields.find(' ');
    it.fields = space == std::string_view::npos ? std::string_view() : fields.substr(space + 1);
    return it;
}

std::vector<TraceLine> readTraceLines(std::istream &stream)
{
    std::vector<TraceLine> lines;
    std::string line;
    while (std::getline(stream, line)) {
        if (auto it = parseTraceLine(line)) {
            lines.push_back(*std::move(it));
        }
    }
    return lines;
}

std::vector<TraceLine> traceOf(const std::vector<TraceLine> &lines, JobId job)
{
    std::vector<TraceLine> own;
    std::ranges::copy_if(lines, std::back_inserter(own), [job](const TraceLine &it) { return it.job == job; });
    if (own.empty()) {
        return own;
    }
    std::ranges::stable_sort(own, sortsBefore);
    const auto [first, last] = std::ranges::minmax_element(own, {}, &TraceLine::timeMs);
    const auto from = first->timeMs - contextMs;
    const auto until = last->timeMs + contextMs;
    std::set<std::string> workers;
    std::set<std::string> daemons;
    for (const auto &it : own) {
        workers.insert(it.worker);
        daemons.insert(it.daemon);
    }
    std::vector<TraceLine> context;
    std::ranges::copy_if(lines, std::back_inserter(context), [&](const TraceLine &it) {
        const bool isRelevant = isAboutOwner(it.kind) || (isAboutDaemon(it.kind) && daemons.contains(it.daemon))
            || (isAboutWorker(it.kind) && workers.contains(it.worker));
        return it.job == 0 && isRelevant && it.timeMs >= from && it.timeMs <= until;
    });
    std::ranges::stable_sort(context, {}, &TraceLine::timeMs);
    std::vector<TraceLine> trace;
    std::ranges::merge(own, context, std::back_inserter(trace), [](const TraceLine &a, const TraceLine &b) {
        return a.timeMs < b.timeMs;
    });
    return trace;
}

} // namespace flamingotally
