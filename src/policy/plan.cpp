#include "policy/planner.h"

namespace flamingotally
{

Plan makePlan(PolicyKind kind, PlanScratch &scratch, const PlanInput &input)
{
    switch (kind) {
    case PolicyKind::Fifo:
        return Planner<FifoQueue, BestFit>(scratch, input).run();
    case PolicyKind::FirstFit:
        return Planner<FifoQueue, FirstFit>(scratch, input).run();
    case PolicyKind::Random:
        return Planner<FifoQueue, RandomFit>(scratch, input).run();
    case PolicyKind::Share:
    case PolicyKind::End:
        break;
    }
    return Planner<ShareQueue, BestFit>(scratch, input).run();
}

std::optional<std::size_t> pickRowBy(PolicyKind kind, const CapacityTable &capacities, const TaskNeed &need)
{
    switch (kind) {
    case PolicyKind::FirstFit:
        return pickRow<FirstFit>(capacities, need);
    case PolicyKind::Random:
        return pickRow<RandomFit>(capacities, need);
    case PolicyKind::Share:
    case PolicyKind::Fifo:
    case PolicyKind::End:
        break;
    }
    return pickRow<BestFit>(capacities, need);
}

} // namespace flamingotally
