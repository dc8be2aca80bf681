#include "policy/placement_policy.h"

namespace flamingotally
{

double BestFit::spreadPenalty(const CapacityTable &capacities, std::size_t row, const TaskNeed &need)
{
    double penalty =
        workerPenalty * need.counts->byWorker[row] + rackPenalty * need.counts->byRack[capacities.racks[row]];
    if (need.spread == Spread::Domains) {
        penalty += domainPenalty * need.counts->byDomain[capacities.domains[row]];
    }
    return penalty;
}

bool BestFit::leavesEnoughForAccelerators(const CapacityTable &capacities, std::size_t row, const Resources &left)
{
    const auto &total = capacities.total[row];
    const double reserved =
        reservedFraction * static_cast<double>(left.accelerators) / static_cast<double>(total.accelerators);
    return static_cast<double>(left.cpuMilli) >= reserved * static_cast<double>(total.cpuMilli)
        && static_cast<double>(left.memoryMb) >= reserved * static_cast<double>(total.memoryMb);
}

double RandomFit::score(const CapacityTable & /*capacities*/, std::size_t row, const TaskNeed &need)
{
    std::uint64_t mixed = need.seed + 0x9e3779b97f4a7c15ULL * (row + 1);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>(mixed >> 11);
}

} // namespace flamingotally
