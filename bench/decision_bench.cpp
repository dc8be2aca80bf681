/** @file decision_bench.cpp Measures the speed of planning alone, on one core and with tables of the two-year size. */
#include "fakes/table_builder.h"
#include "policy/plan_type.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <random>

using namespace flamingotally;

namespace
{

constexpr LogTime benchStart{Milliseconds{1'000'000'000}};
constexpr Resources noLimit{1'000'000'000'000, 1'000'000'000'000, 1'000'000};
constexpr int workerCount = 690;
constexpr int acceleratorWorkerCount = 188;
constexpr int teamCount = 62;
constexpr int racksPerDomain = 12;
constexpr std::uint32_t runningTasks = 6'500;
constexpr std::uint32_t waitingTasks = 2'000;
constexpr int warmUpPlans = 20;
constexpr int measuredPlans = 400;
constexpr std::size_t maxTasksPerPlan = 128;

ProfileSpec drawProfile(std::mt19937 &random)
{
    ProfileSpec spec;
    const auto choice = random() % 10;
    spec.kind = choice < 2 ? WorkKind::Service : choice < 4 ? WorkKind::Request : WorkKind::Batch;
    spec.urgency = choice == 2 ? Urgency::Urgent : choice < 7 ? Urgency::Normal : Urgency::Background;
    spec.checkpoint = choice >= 6;
    return spec;
}

/** Draws the resources that a task needs. */
Resources drawNeed(std::mt19937 &random)
{
    const std::int64_t cpu = 500 * (1 + static_cast<std::int64_t>(random() % 12));
    const std::int64_t accelerators = random() % 8 == 0 ? 1 : 0;
    return {cpu, cpu * 4, accelerators};
}

void addWorkers(TableBuilder &builder)
{
    std::vector<RackRef> racks;
    for (int domain = 0; domain < 4; ++domain) {
        const auto ref = builder.domain("domain" + std::to_string(domain));
        for (int rack = 0; rack < racksPerDomain; ++rack) {
            racks.push_back(builder.rack(fmt::format("rack{}-{}", domain, rack), ref));
        }
    }
    for (int n = 0; n < workerCount; ++n) {
        const std::int64_t accelerators = n < acceleratorWorkerCount ? 8 : 0;
        builder.worker(racks[static_cast<std::size_t>(n) % racks.size()], {64'000, 262'144, accelerators});
    }
}

/** Adds the running tasks, each on a random worker; the remaining capacity is free for waiting tasks. */
void addRunning(TableBuilder &builder, const std::vector<TeamRef> &teams, std::mt19937 &random)
{
    for (std::uint32_t n = 0; n < runningTasks; ++n) {
        const auto job =
            builder.job(teams[random() % teams.size()], drawProfile(random), drawNeed(random), 1, benchStart);
        const auto need = builder.tables.jobs.get<JobSpec>(job).perTask;
        WorkerRef worker;
        do {
            worker = builder.tables.workers.at(random() % workerCount);
        } while (!need.fitsInto(builder.tables.workers.get<WorkerCapacity>(worker).free()));
        builder.place(builder.task(job, 0), worker, benchStart);
    }
}

/**
 * Adds the waiting tasks.
 * @param scale Factor on the resources that each of them needs.
 */
void addWaiting(TableBuilder &builder, const std::vector<TeamRef> &teams, std::mt19937 &random, std::int64_t scale)
{
    for (std::uint32_t n = 0; n < waitingTasks; ++n) {
        const auto need = drawNeed(random) * scale;
        builder.job(teams[random() % teams.size()], drawProfile(random), need, 1, benchStart + Milliseconds{n});
    }
}

/** Makes one plan from the tables. Returns the number of tasks that the plan places. */
std::size_t planOnce(const Tables &tables, PlanScratch &scratch, LogTime now)
{
    const PlannedTasks planned;
    const AttemptNumberSet stops;
    const TaskKeySet inFlight;
    fillCapacities(scratch.capacities, tables, now);
    fillTeamUse(scratch.teams, tables, scratch.capacities.capacity);
    collectWaiting(scratch.waiting, tables, inFlight, now);
    const PlanInput input{tables, planned, stops, now, maxTasksPerPlan};
    std::size_t placed = 0;
    for (const auto &group : makePlan(PolicyKind::Share, scratch, input).groups) {
        placed += group.placements.size();
    }
    return placed;
}

/**
 * Makes measuredPlans plans over the same tables and prints one line of figures on their speed.
 * @param name Label of the line.
 * @param scale Factor on the resources that each waiting task needs.
 */
void measure(const char *name, std::int64_t scale)
{
    std::mt19937 random(1);
    TableBuilder builder;
    addWorkers(builder);
    std::vector<TeamRef> teams;
    teams.reserve(teamCount);
    for (int n = 0; n < teamCount; ++n) {
        teams.push_back(builder.team("team" + std::to_string(n), 1 + static_cast<std::uint32_t>(n) % 4, noLimit));
    }
    addRunning(builder, teams, random);
    addWaiting(builder, teams, random, scale);
    PlanScratch scratch;
    std::vector<double> times;
    std::size_t placed = 0;
    const auto now = benchStart + Milliseconds{60'000};
    for (int n = 0; n < warmUpPlans + measuredPlans; ++n) {
        const auto from = std::chrono::steady_clock::now();
        const auto count = planOnce(builder.tables, scratch, now);
        const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - from;
        if (n >= warmUpPlans) {
            times.push_back(took.count());
            placed += count;
        }
    }
    double total = 0.0;
    for (const auto it : times) {
        total += it;
    }
    std::ranges::sort(times);
    fmt::print("{}: workers={} running={} waiting={} placed/plan={:.0f} placements/s={:.0f} plan p50={:.3f} ms "
               "p99={:.3f} ms max={:.3f} ms\n",
               name,
               workerCount,
               runningTasks,
               waitingTasks,
               static_cast<double>(placed) / measuredPlans,
               static_cast<double>(placed) * 1000.0 / total,
               times[times.size() / 2],
               times[times.size() * 99 / 100],
               times.back());
}

} // namespace

int main()
{
    measure("room for all", 1);
    measure("room for few", 10);
    return 0;
}
