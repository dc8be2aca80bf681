/** @file figures.h The five measures, computed from the jobs sent to a simulated world and from its journal. */
#pragma once

#include "bench/workload.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <set>

namespace flamingotally::bench
{

/** A submitted job. */
struct Arrival {
    std::size_t workClass = 0;
    std::size_t team = 0;
    std::uint32_t count = 0;
    Resources perTask;
    Milliseconds runTime{0}; ///< Run time of each task; negative for a task that never ends.
    Milliseconds sentAt{0};
    std::size_t call = 0; ///< Index of the call in the journal.
};

using Arrivals = absl::flat_hash_map<RequestId, Arrival>;

/** A span of virtual time. */
struct Span {
    Milliseconds from{0};
    Milliseconds to{0};

    double seconds() const
    {
        return static_cast<double>((to - from).count()) / 1'000.0;
    }
};

/** Waiting times of the tasks of one profile. */
struct WaitFigures {
    std::size_t tasks = 0; ///< Tasks that were not refused, started or not.
    std::size_t unstarted = 0; ///< Tasks among them that have not started; they count with their wait so far.
    std::size_t refused = 0; ///< Refused tasks, which `tasks` does not include.
    double p50 = 0.0; ///< Median wait in milliseconds.
    double p99 = 0.0; ///< 99th percentile of the wait in milliseconds.
};

/** Resources integrated over time: millicores, megabytes and accelerators, each times seconds. */
struct Amount {
    double cpu = 0.0;
    double memory = 0.0;
    double accelerators = 0.0;

    void add(const Resources &amount, double seconds)
    {
        cpu += static_cast<double>(amount.cpuMilli) * seconds;
        memory += static_cast<double>(amount.memoryMb) * seconds;
        accelerators += static_cast<double>(amount.accelerators) * seconds;
    }

    /** Returns the largest of the shares that the three resources have of a total (the dominant share). */
    double dominantShareOf(const Amount &total) const
    {
        return std::max({cpu / total.cpu, memory / total.memory, accelerators / total.accelerators});
    }
};

/**
 * Sorts the values and returns a quantile of them.
 * @param part The quantile, from 0 to 1.
 * @return Zero when there are no values.
 */
inline double quantile(std::vector<double> &values, double part)
{
    if (values.empty()) {
        return 0.0;
    }
    std::ranges::sort(values);
    const auto place = static_cast<std::size_t>(part * static_cast<double>(values.size()));
    return values[std::min(place, values.size() - 1)];
}

/** Returns for how many seconds of a span a run lasted. */
inline double overlap(const fakes::Run &run, const Span &span)
{
    const auto end = run.endedAt == fakes::notYet ? span.to : std::min(run.endedAt, span.to);
    const auto begin = std::max(run.startedAt, span.from);
    return end > begin ? static_cast<double>((end - begin).count()) / 1'000.0 : 0.0;
}

/** Returns the resources that runs reserved over a span: all runs, or those of one team. */
inline Amount usedIn(const fakes::Journal &journal,
                     const Arrivals &arrivals,
                     const Span &span,
                     std::optional<std::size_t> team = std::nullopt)
{
    Amount used;
    for (const auto &run : journal.runs) {
        const auto found = arrivals.find(run.request);
        if (found != arrivals.end() && (!team || found->second.team == *team)) {
            used.add(run.reserved, overlap(run, span));
        }
    }
    return used;
}

/**
 * Returns the most that the jobs submitted before the end of a span could have used in it: each task for its remaining
 * run time, but no longer than the part of the span after its submission. Counts the jobs of all teams, or of one.
 */
inline Amount demandIn(const fakes::Journal &journal,
                       const Arrivals &arrivals,
                       const Span &span,
                       std::optional<std::size_t> team = std::nullopt)
{
    absl::flat_hash_map<RequestId, double> doneBefore;
    for (const auto &run : journal.runs) {
        doneBefore[run.request] += overlap(run, {Milliseconds{0}, span.from});
    }
    Amount demanded;
    for (const auto &[request, arrival] : arrivals) {
        const auto &call = journal.calls[arrival.call];
        const bool isRefused = call.state == fakes::CallState::Answered && call.response.reason != Reason::None;
        if (arrival.sentAt >= span.to || isRefused || (team && arrival.team != *team)) {
            continue;
        }
        const Span present{std::max(arrival.sentAt, span.from), span.to};
        double seconds = present.seconds() * arrival.count;
        if (arrival.runTime >= Milliseconds{0}) {
            const double runSeconds = static_cast<double>(arrival.runTime.count()) * arrival.count / 1'000.0;
            seconds = std::clamp(runSeconds - doneBefore[request], 0.0, seconds);
        }
        demanded.add(arrival.perTask, seconds);
    }
    return demanded;
}

/** Returns the capacity of a number of failure domains of a cell over a span. */
inline Amount capacityIn(const fakes::WorldLayout &layout, const Span &span, std::size_t domains)
{
    Amount capacity;
    for (std::size_t n = 0; n < domains * layout.workersPerDomain; ++n) {
        const bool hasAccelerators = n % layout.acceleratorEvery == layout.acceleratorEvery - 1;
        capacity.add(hasAccelerators ? layout.acceleratorWorkerTotal : layout.workerTotal, span.seconds());
    }
    return capacity;
}

/** Returns the waiting times of the tasks of one profile that were submitted within a span. */
inline WaitFigures waitsOf(const fakes::Journal &journal, const Arrivals &arrivals, std::size_t workClass, Span span)
{
    absl::flat_hash_map<RequestId, std::vector<double>> firstStarts;
    for (const auto &run : journal.runs) {
        const auto found = arrivals.find(run.request);
        if (found == arrivals.end() || found->second.workClass != workClass) {
            continue;
        }
        auto &starts = firstStarts[run.request];
        starts.resize(found->second.count, -1.0);
        if (auto &start = starts[run.ordinal]; start < 0.0) {
            start = static_cast<double>((run.startedAt - found->second.sentAt).count());
        }
    }
    WaitFigures figures;
    std::vector<double> waits;
    for (const auto &[request, arrival] : arrivals) {
        if (arrival.workClass != workClass || arrival.sentAt < span.from || arrival.sentAt >= span.to) {
            continue;
        }
        const auto &call = journal.calls[arrival.call];
        if (call.state == fakes::CallState::Answered && call.response.reason != Reason::None) {
            figures.refused += arrival.count;
            continue;
        }
        const auto starts = firstStarts.find(request);
        for (std::uint32_t n = 0; n < arrival.count; ++n) {
            const bool hasStarted = starts != firstStarts.end() && starts->second[n] >= 0.0;
            figures.unstarted += hasStarted ? 0 : 1;
            waits.push_back(hasStarted ? starts->second[n] : static_cast<double>((span.to - arrival.sentAt).count()));
        }
    }
    figures.tasks = waits.size();
    figures.p50 = quantile(waits, 0.5);
    figures.p99 = quantile(waits, 0.99);
    return figures;
}

/** Usage of a team and the usage that its share entitles it to, as dominant shares of the cell. */
struct ShareFigures {
    double received = 0.0;
    double entitled = 0.0;
};

/**
 * Computes the usage that each team is entitled to: the usage of all teams together is divided by their shares; a team
 * that demands less than its part leaves the rest to the others.
 * @param received Usage of each team, as a dominant share.
 * @param demanded Demand of each team, as a dominant share.
 * @param shares Share (weight) of each team.
 * @return One row for each team, in the same order.
 */
inline std::vector<ShareFigures> divideByShare(const std::vector<double> &received,
                                               const std::vector<double> &demanded,
                                               const std::vector<std::uint32_t> &shares)
{
    double total = 0.0;
    for (const auto it : received) {
        total += it;
    }
    double low = 0.0;
    double high = 1.0;
    constexpr int halvings = 60;
    for (int n = 0; n < halvings; ++n) {
        const double level = (low + high) / 2.0;
        double sum = 0.0;
        for (std::size_t team = 0; team < received.size(); ++team) {
            sum += std::min(demanded[team], level * shares[team]);
        }
        (sum < total ? low : high) = level;
    }
    std::vector<ShareFigures> figures;
    for (std::size_t team = 0; team < received.size(); ++team) {
        figures.push_back({received[team], std::min(demanded[team], high * shares[team])});
    }
    return figures;
}

} // namespace flamingotally::bench
