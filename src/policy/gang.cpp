#include "policy/gang.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Number of tasks of a gang that fit on a worker. */
struct RowFit {
    std::uint32_t row = 0; ///< Index of the worker.
    std::uint32_t fit = 0; ///< Number of tasks that fit, at most the size of the gang.
};

/** Returns the workers on which at least one task of a gang fits. Workers due for a probe are left out. */
std::vector<RowFit> fitsNow(const CapacityTable &capacities, const TaskNeed &need, std::uint32_t count)
{
    std::vector<RowFit> fits;
    for (std::uint32_t n = 0; n < capacities.size(); ++n) {
        if (!isEligible(capacities.eligibility[n], need) || capacities.eligibility[n] == WorkerEligibility::Probe) {
            continue;
        }
        if (const auto fit = fitCount(capacities.free[n], need.amount, count); fit > 0) {
            fits.push_back({n, fit});
        }
    }
    return fits;
}

/**
 * Returns the group of workers with the smallest sum of fits that is at least `count`, on a tie the first of them.
 * Each fit is at most `count`.
 * @param fits The workers on which tasks fit.
 * @param groupOf Group of each worker: its rack or its failure domain.
 * @param count Number of tasks of the gang.
 * @return Index of the group; `std::nullopt` if the gang fits into no group.
 */
std::optional<std::uint32_t>
tightestGroup(const std::vector<RowFit> &fits, const std::vector<std::uint32_t> &groupOf, std::uint32_t count)
{
    std::vector<std::uint64_t> sums;
    for (const auto &it : fits) {
        const auto group = groupOf[it.row];
        if (group >= sums.size()) {
            sums.resize(group + 1, 0);
        }
        sums[group] += it.fit;
    }
    std::optional<std::uint32_t> best;
    for (std::uint32_t n = 0; n < sums.size(); ++n) {
        if (sums[n] >= count && (!best || sums[n] < sums[*best])) {
            best = n;
        }
    }
    return best;
}

/** Removes the workers that are not in a group. */
void filterGroup(std::vector<RowFit> &fits, const std::vector<std::uint32_t> &groupOf, std::uint32_t group)
{
    std::erase_if(fits, [&](const RowFit &it) { return groupOf[it.row] != group; });
}

/** Returns a worker index for each task. Fills the workers in descending order of the number of tasks that fit. */
std::vector<std::uint32_t> assignRows(std::vector<RowFit> fits, std::uint32_t count)
{
    std::ranges::stable_sort(fits, std::ranges::greater{}, &RowFit::fit);
    std::vector<std::uint32_t> rows;
    for (const auto &it : fits) {
        const auto taken = std::min<std::uint32_t>(it.fit, count - static_cast<std::uint32_t>(rows.size()));
        rows.insert(rows.end(), taken, it.row);
    }
    return rows;
}

/**
 * Returns the open workers on which at least one task fits once all attempts except those of services have ended.
 * RowFit::fit is the number of tasks that fit now and may be zero. The result is empty if these workers together cannot
 * run `count` tasks even after those attempts have ended.
 */
std::vector<RowFit> reservableRows(const CapacityTable &capacities,
                                   const LiveAttemptTable &attempts,
                                   const Resources &amount,
                                   std::uint32_t count)
{
    std::vector<RowFit> rows;
    std::uint64_t attainable = 0;
    for (std::uint32_t n = 0; n < capacities.size(); ++n) {
        const auto attainableFit =
            capacities.eligibility[n] == WorkerEligibility::Open ? fitCount(attempts.attainable[n], amount, count) : 0;
        if (attainableFit > 0) {
            attainable += attainableFit;
            rows.push_back({n, fitCount(capacities.free[n], amount, count)});
        }
    }
    if (attainable < count) {
        rows.clear();
    }
    return rows;
}

} // namespace

std::uint32_t fitCount(const Resources &available, const Resources &amount, std::uint32_t most)
{
    if (!available.isNonNegative()) {
        return 0;
    }
    std::int64_t fit = most;
    auto bound = [&fit](std::int64_t has, std::int64_t needs) {
        if (needs > 0) {
            fit = std::min(fit, has / needs);
        }
    };
    bound(available.cpuMilli, amount.cpuMilli);
    bound(available.memoryMb, amount.memoryMb);
    bound(available.accelerators, amount.accelerators);
    return static_cast<std::uint32_t>(fit);
}

std::vector<std::uint32_t> placeGang(const CapacityTable &capacities, const TaskNeed &need, std::uint32_t count)
{
    auto fits = fitsNow(capacities, need, count);
    std::uint64_t sum = 0;
    for (const auto &it : fits) {
        sum += it.fit;
    }
    if (sum < count) {
        return {};
    }
    if (const auto rack = tightestGroup(fits, capacities.racks, count)) {
        filterGroup(fits, capacities.racks, *rack);
    } else if (const auto domain = tightestGroup(fits, capacities.domains, count)) {
        filterGroup(fits, capacities.domains, *domain);
    }
    return assignRows(std::move(fits), count);
}

bool reserveCapacity(CapacityTable &capacities,
                     const LiveAttemptTable &attempts,
                     const Resources &amount,
                     std::uint32_t count)
{
    auto rows = reservableRows(capacities, attempts, amount, count);
    if (rows.empty()) {
        return false;
    }
    std::uint32_t left = count;
    for (const auto &it : rows) {
        const auto fit = std::min(it.fit, left);
        capacities.free[it.row] -= amount * fit;
        left -= fit;
    }
    const auto availableFraction = [&](const RowFit &it) {
        return dominantFraction(capacities.free[it.row] + capacities.releasing[it.row], capacities.total[it.row]);
    };
    std::ranges::stable_sort(rows, std::ranges::greater{}, availableFraction);
    // For each remaining task, one worker: reserve the needed resources as far as they are free there.
    for (std::size_t n = 0; n < rows.size() && left > 0; ++n, --left) {
        auto &free = capacities.free[rows[n].row];
        free -= elementwiseMin(free, amount);
    }
    return true;
}

} // namespace flamingotally
