/**
 * @file figures.h Figures of a run in a simulated world: waiting times, resources used and demanded, and the shares of
 * the teams. They are computed from the submitted jobs and from the journal of the world.
 */
#pragma once

#include "bench/workload.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <set>

namespace flamingotally::bench
{

/** A submitted job. */
struct SubmittedJob {
    std::size_t classIndex = 0; ///< Index of the job's class in the workload.
    std::size_t team = 0; ///< Index of the team.
    std::uint32_t count = 0; ///< Number of tasks.
    Resources perTask;
    Milliseconds runTime{0}; ///< Run time of each task; negative for a task that never ends.
    Milliseconds submittedAt{0};
    std::size_t callIndex = 0; ///< Index in the journal of the call that submitted the job.
};

/** All submitted jobs, by request id. */
using SubmittedJobs = absl::flat_hash_map<RequestId, SubmittedJob>;

/** A span of virtual time. */
struct Span {
    Milliseconds from{0};
    Milliseconds to{0};

    double seconds() const
    {
        return static_cast<double>((to - from).count()) / 1'000.0;
    }
};

/** Figures on the waiting times of the tasks of one class. */
struct WaitFigures {
    std::size_t tasks = 0; ///< Tasks that were not refused, including those that have not started.
    std::size_t unstarted = 0; ///< Tasks that have not started; the wait of each is counted up to the end of the span.
    std::size_t refused = 0; ///< Refused tasks, which `tasks` does not include.
    double p50 = 0.0; ///< Median wait in milliseconds.
    double p99 = 0.0; ///< 99th percentile of the wait in milliseconds.
};

/** Resources integrated over time, in millicore-seconds, megabyte-seconds and accelerator-seconds. */
struct ResourceSeconds {
    double cpu = 0.0;
    double memory = 0.0;
    double accelerators = 0.0;

    /** Adds the resources that are in use for a time. */
    void add(const Resources &resources, double seconds)
    {
        cpu += static_cast<double>(resources.cpuMilli) * seconds;
        memory += static_cast<double>(resources.memoryMb) * seconds;
        accelerators += static_cast<double>(resources.accelerators) * seconds;
    }

    /** Returns the dominant share: the largest quotient of one resource and its total, over the three resources. */
    double dominantShareOf(const ResourceSeconds &total) const
    {
        return std::max({cpu / total.cpu, memory / total.memory, accelerators / total.accelerators});
    }
};

/**
 * Sorts the values and returns a quantile of them.
 * @param fraction The quantile to return: 0.5 is the median, 0.99 the 99th percentile.
 * @return Zero when there are no values.
 */
inline double quantile(std::vector<double> &values, double fraction)
{
    if (values.empty()) {
        return 0.0;
    }
    std::ranges::sort(values);
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

/** Returns the seconds of a span during which a run was running. */
inline double overlapSeconds(const fakes::Run &run, const Span &span)
{
    const auto end = run.endedAt == fakes::notYet ? span.to : std::min(run.endedAt, span.to);
    const auto begin = std::max(run.startedAt, span.from);
    return end > begin ? static_cast<double>((end - begin).count()) / 1'000.0 : 0.0;
}

/**
 * Returns the resources that runs used over a span. A run uses all resources that were reserved for it.
 * @param team Team whose runs are counted; without it, all runs are counted.
 */
inline ResourceSeconds usedIn(const fakes::Journal &journal,
                              const SubmittedJobs &jobs,
                              const Span &span,
                              std::optional<std::size_t> team = std::nullopt)
{
    ResourceSeconds used;
    for (const auto &run : journal.runs) {
        const auto found = jobs.find(run.request);
        if (found != jobs.end() && (!team || found->second.team == *team)) {
            used.add(run.reserved, overlapSeconds(run, span));
        }
    }
    return used;
}

/**
 * Returns an upper bound on the resources that jobs could have used over a span. Every job that was submitted before
 * the end of the span and was not refused is counted: with the run time that its tasks had left at the start of the
 * span, but for no longer than the part of the span after its submission.
 * @param team Team whose jobs are counted; without it, all jobs are counted.
 */
inline ResourceSeconds demandIn(const fakes::Journal &journal,
                                const SubmittedJobs &jobs,
                                const Span &span,
                                std::optional<std::size_t> team = std::nullopt)
{
    absl::flat_hash_map<RequestId, double> secondsBefore;
    for (const auto &run : journal.runs) {
        secondsBefore[run.request] += overlapSeconds(run, {Milliseconds{0}, span.from});
    }
    ResourceSeconds demanded;
    for (const auto &[request, job] : jobs) {
        const auto &call = journal.calls[job.callIndex];
        const bool isRefused = call.state == fakes::CallState::Answered && call.response.reason != Reason::None;
        if (job.submittedAt >= span.to || isRefused || (team && job.team != *team)) {
            continue;
        }
        const Span afterSubmission{std::max(job.submittedAt, span.from), span.to};
        double seconds = afterSubmission.seconds() * job.count;
        if (job.runTime >= Milliseconds{0}) {
            const double runSeconds = static_cast<double>(job.runTime.count()) * job.count / 1'000.0;
            seconds = std::clamp(runSeconds - secondsBefore[request], 0.0, seconds);
        }
        demanded.add(job.perTask, seconds);
    }
    return demanded;
}

/**
 * Returns the capacity of a cell over a span.
 * @param domains Number of failure domains that are in service.
 */
inline ResourceSeconds capacityIn(const fakes::WorldLayout &layout, const Span &span, std::size_t domains)
{
    ResourceSeconds capacity;
    for (std::size_t n = 0; n < domains * layout.workersPerDomain; ++n) {
        const bool hasAccelerators = n % layout.acceleratorEvery == layout.acceleratorEvery - 1;
        capacity.add(hasAccelerators ? layout.acceleratorWorkerTotal : layout.workerTotal, span.seconds());
    }
    return capacity;
}

/** Returns the figures on the waiting times of the tasks of one class that were submitted within a span. */
inline WaitFigures
waitFiguresOf(const fakes::Journal &journal, const SubmittedJobs &jobs, std::size_t classIndex, Span span)
{
    absl::flat_hash_map<RequestId, std::vector<double>> firstStarts;
    for (const auto &run : journal.runs) {
        const auto found = jobs.find(run.request);
        if (found == jobs.end() || found->second.classIndex != classIndex) {
            continue;
        }
        auto &starts = firstStarts[run.request];
        starts.resize(found->second.count, -1.0);
        if (auto &start = starts[run.ordinal]; start < 0.0) {
            start = static_cast<double>((run.startedAt - found->second.submittedAt).count());
        }
    }
    WaitFigures figures;
    std::vector<double> waits;
    for (const auto &[request, job] : jobs) {
        if (job.classIndex != classIndex || job.submittedAt < span.from || job.submittedAt >= span.to) {
            continue;
        }
        const auto &call = journal.calls[job.callIndex];
        if (call.state == fakes::CallState::Answered && call.response.reason != Reason::None) {
            figures.refused += job.count;
            continue;
        }
        const auto starts = firstStarts.find(request);
        for (std::uint32_t n = 0; n < job.count; ++n) {
            const bool hasStarted = starts != firstStarts.end() && starts->second[n] >= 0.0;
            figures.unstarted += hasStarted ? 0 : 1;
            waits.push_back(hasStarted ? starts->second[n] : static_cast<double>((span.to - job.submittedAt).count()));
        }
    }
    figures.tasks = waits.size();
    figures.p50 = quantile(waits, 0.5);
    figures.p99 = quantile(waits, 0.99);
    return figures;
}

/** Usage of a team, and the usage that its weight entitles it to, both as dominant shares of the cell. */
struct ShareFigures {
    double received = 0.0;
    double entitled = 0.0;
};

/**
 * Computes the usage that each team is entitled to: the usage of all teams together is distributed in proportion to
 * their weights, but no team gets more than its demand; what such a team leaves is distributed among the others.
 * @param received Usage of each team, as a dominant share of the cell.
 * @param demanded Demand of each team, as a dominant share of the cell.
 * @param weights Configured share of each team.
 * @return The figures of each team, in the same order.
 */
inline std::vector<ShareFigures> shareFiguresOf(const std::vector<double> &received,
                                                const std::vector<double> &demanded,
                                                const std::vector<std::uint32_t> &weights)
{
    double total = 0.0;
    for (const auto it : received) {
        total += it;
    }
    double low = 0.0;
    double high = 1.0;
    constexpr int bisectionSteps = 60;
    for (int n = 0; n < bisectionSteps; ++n) {
        const double usagePerWeight = (low + high) / 2.0;
        double sum = 0.0;
        for (std::size_t team = 0; team < received.size(); ++team) {
            sum += std::min(demanded[team], usagePerWeight * weights[team]);
        }
        (sum < total ? low : high) = usagePerWeight;
    }
    std::vector<ShareFigures> figures;
    for (std::size_t team = 0; team < received.size(); ++team) {
        figures.push_back({received[team], std::min(demanded[team], high * weights[team])});
    }
    return figures;
}

} // namespace flamingotally::bench
