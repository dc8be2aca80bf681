/** @file workload.h A seeded workload, read from TOML: the cell, its teams, and the arrivals of each profile. */
#pragma once

#include "core/enum_table.h"
#include "fakes/world.h"
#include "table/profile_table.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <stdexcept>

namespace flamingotally::bench
{

/** Inclusive bounds of a uniformly distributed number. */
struct Range {
    std::int64_t least = 0;
    std::int64_t most = 0;

    double mean() const
    {
        return static_cast<double>(least + most) / 2.0;
    }

    std::int64_t draw(std::mt19937_64 &random) const
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    }
};

/** Work of one profile: its arrivals and the sizes of its tasks. */
struct WorkClass {
    std::string name;
    ProfileSpec spec;
    double load = 0.0; ///< Fraction of one resource of the cell that the class uses at full load.
    bool isAcceleratorLoad = false; ///< True when `load` is a fraction of the accelerators, false for processors.
    std::uint32_t fixedTasks = 0; ///< Endless tasks that are submitted at the start; such a class has no arrivals.
    Range count{1, 1}; ///< Tasks of a job.
    Range cores;
    Range memoryGb;
    Range accelerators;
    Range runMs;
};

/** A workload and the length of its measurement. */
struct Workload {
    fakes::WorldLayout layout;
    std::vector<std::uint32_t> shares; ///< Configured share (weight) of each team.
    std::vector<double> demand; ///< Fraction of all arrivals that each team submits; the fractions add up to one.
    std::vector<WorkClass> classes;
    Milliseconds warmUpTime{0}; ///< Virtual time before the measurement.
    Milliseconds measuredTime{0}; ///< Virtual time of the measurement.
};

/** Reads a range from an array of two numbers. Returns the fallback when the key is missing. */
inline Range readRange(const toml::table &table, const char *key, Range fallback = {})
{
    const auto *both = table[key].as_array();
    return both == nullptr ? fallback
                           : Range{both->at(0).value_or<std::int64_t>(0), both->at(1).value_or<std::int64_t>(0)};
}

/** Reads the capacity of a worker, in cores, gigabytes and accelerators. */
inline Resources readTotal(const toml::table &cell, const char *key)
{
    const auto total = cell[key];
    constexpr std::int64_t milli = 1'000;
    constexpr std::int64_t mbPerGb = 1'024;
    return {total["cores"].value_or<std::int64_t>(1) * milli,
            total["memoryGb"].value_or<std::int64_t>(1) * mbPerGb,
            total["accelerators"].value_or<std::int64_t>(0)};
}

/**
 * Reads an enum value by its name.
 * @param names Table of names of the enum.
 * @return The value, or the fallback when the key is missing.
 * @throw std::runtime_error when the name is unknown.
 */
template<typename E, typename Table>
E readName(const toml::table &table, const char *key, const Table &names, E fallback)
{
    const auto name = table[key].value<std::string>();
    if (!name) {
        return fallback;
    }
    if (const auto value = valueFromName(names, *name)) {
        return *value;
    }
    throw std::runtime_error(fmt::format("field {} of the workload has an unknown value: {}", key, *name));
}

/** Reads the class of work of one [[profiles]] table. */
inline WorkClass readClass(const toml::table &table)
{
    WorkClass row;
    row.name = table["name"].value_or<std::string>("");
    row.spec.kind = readName(table, "kind", workKindTable, WorkKind::Batch);
    row.spec.urgency = readName(table, "urgency", urgencyTable, Urgency::Normal);
    row.spec.spread = readName(table, "spread", spreadTable, Spread::None);
    row.spec.idempotent = table["idempotent"].value_or(true);
    row.spec.checkpoint = table["checkpoint"].value_or(false);
    row.spec.maxRetries = row.spec.idempotent ? 3 : 0;
    row.spec.maxWait = Milliseconds{table["maxWaitMs"].value_or<std::int64_t>(0)};
    row.load = table["load"].value_or(0.0);
    row.isAcceleratorLoad = table["resource"].value_or<std::string>("cpu") == "accelerators";
    row.fixedTasks = table["fixedTasks"].value_or<std::uint32_t>(0);
    row.count = readRange(table, "count", {1, 1});
    row.cores = readRange(table, "cores");
    row.memoryGb = readRange(table, "memoryGb");
    row.accelerators = readRange(table, "accelerators");
    row.runMs = readRange(table, "runMs");
    return row;
}

/** Reads the shares and the demand of the teams, and scales the demand to a sum of one. */
inline void readTeams(const toml::table &table, Workload &workload)
{
    double sum = 0.0;
    for (const auto &it : *table["teams"]["shares"].as_array()) {
        workload.shares.push_back(it.value_or<std::uint32_t>(1));
    }
    for (const auto &it : *table["teams"]["demand"].as_array()) {
        workload.demand.push_back(it.value_or(1.0));
        sum += workload.demand.back();
    }
    for (auto &it : workload.demand) {
        it /= sum;
    }
}

/**
 * Reads a workload.
 * @param path Path of the TOML file.
 * @throw std::runtime_error or toml::parse_error when the file is malformed.
 */
inline Workload readWorkload(const std::string &path)
{
    const auto table = toml::parse_file(path);
    const auto *cell = table["cell"].as_table();
    const auto *profiles = table["profiles"].as_array();
    if (cell == nullptr || profiles == nullptr) {
        throw std::runtime_error(path + ": needs [cell], [teams] and [[profiles]]");
    }
    Workload workload;
    auto &layout = workload.layout;
    layout.seed = table["seed"].value_or<std::uint64_t>(1);
    layout.domains = (*cell)["domains"].value_or<std::size_t>(3);
    layout.daemonsPerDomain = (*cell)["daemonsPerDomain"].value_or<std::size_t>(2);
    layout.workersPerDomain = (*cell)["workersPerDomain"].value_or<std::size_t>(16);
    layout.racksPerDomain = (*cell)["racksPerDomain"].value_or<std::size_t>(4);
    layout.acceleratorEvery = (*cell)["acceleratorEvery"].value_or<std::size_t>(4);
    layout.workerTotal = readTotal(*cell, "worker");
    layout.acceleratorWorkerTotal = readTotal(*cell, "acceleratorWorker");
    workload.warmUpTime = std::chrono::seconds(table["warmUpSeconds"].value_or<std::int64_t>(30));
    workload.measuredTime = std::chrono::seconds(table["seconds"].value_or<std::int64_t>(60));
    readTeams(table, workload);
    for (const auto &it : *profiles) {
        workload.classes.push_back(readClass(*it.as_table()));
    }
    return workload;
}

} // namespace flamingotally::bench
