#include "dispatch/net/event_story.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace flamingotally
{

using namespace dispatch;

namespace
{

constexpr std::int64_t contextMs = 2'000; ///< Lines about others count so long before and after the job's own.
constexpr int hexadecimal = 16;

/** Value of a field `name=value`; empty when there is none. */
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
    return kind == EventKind::WorkerLost || kind == EventKind::WorkerRegained || kind == EventKind::WorkerReborn;
}

/** Orders a story: acceptance first, then by time. */
bool goesBefore(const StoryLine &a, const StoryLine &b)
{
    const bool isFirstA = a.kind == EventKind::JobAccepted;
    const bool isFirstB = b.kind == EventKind::JobAccepted;
    if (isFirstA != isFirstB && a.job == b.job) {
        return isFirstA;
    }
    return a.timeMs < b.timeMs;
}

} // namespace

std::optional<StoryLine> readStoryLine(std::string_view line)
{
    constexpr std::string_view eventName = "event=";
    const auto kind = valueFromName(eventKindTable, valueOf(line, "event"));
    const auto time = valueOf(line, "time_ms");
    if (!kind || time.empty()) {
        return std::nullopt;
    }
    StoryLine it;
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

std::vector<StoryLine> readStoryLines(std::istream &stream)
{
    std::vector<StoryLine> lines;
    std::string line;
    while (std::getline(stream, line)) {
        if (auto it = readStoryLine(line)) {
            lines.push_back(*std::move(it));
        }
    }
    return lines;
}

std::vector<StoryLine> storyOf(const std::vector<StoryLine> &lines, JobId job)
{
    std::vector<StoryLine> own;
    std::ranges::copy_if(lines, std::back_inserter(own), [job](const StoryLine &it) { return it.job == job; });
    if (own.empty()) {
        return own;
    }
    std::ranges::stable_sort(own, goesBefore);
    const auto [first, last] = std::ranges::minmax_element(own, {}, &StoryLine::timeMs);
    const auto from = first->timeMs - contextMs;
    const auto until = last->timeMs + contextMs;
    std::set<std::string> workers;
    std::set<std::string> daemons;
    for (const auto &it : own) {
        workers.insert(it.worker);
        daemons.insert(it.daemon);
    }
    std::vector<StoryLine> context;
    std::ranges::copy_if(lines, std::back_inserter(context), [&](const StoryLine &it) {
        const bool isWanted = isAboutOwner(it.kind) || (isAboutDaemon(it.kind) && daemons.contains(it.daemon))
            || (isAboutWorker(it.kind) && workers.contains(it.worker));
        return it.job == 0 && isWanted && it.timeMs >= from && it.timeMs <= until;
    });
    std::ranges::stable_sort(context, {}, &StoryLine::timeMs);
    std::vector<StoryLine> story;
    std::ranges::merge(own, context, std::back_inserter(story), [](const StoryLine &a, const StoryLine &b) {
        return a.timeMs < b.timeMs;
    });
    return story;
}

} // namespace flamingotally
