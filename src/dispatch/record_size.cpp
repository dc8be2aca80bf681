#include "dispatch/record_size.h"

namespace flamingotally::dispatch
{

namespace
{

constexpr std::size_t bytesPerRecord = 300; ///< Key, identity and policy, without texts of any length.
constexpr std::size_t bytesPerStep = 100; ///< A step without texts of any length and without earlier steps.

std::size_t estimatedBytes(const StepSpec &step)
{
    return bytesPerStep + step.requiredLabel.size() + step.dataRack.size() + step.image.size()
        + step.after.size() * sizeof(step.after.front());
}

} // namespace

std::size_t estimatedBytes(const JournalRecord &record)
{
    const auto *accepted = std::get_if<AcceptedRecord>(&record);
    if (!accepted) {
        return bytesPerRecord;
    }
    auto bytes = bytesPerRecord + accepted->team.size() + accepted->queue.size() + accepted->policy.pool.size()
        + accepted->spec.payload.size();
    for (const auto &it : accepted->spec.steps) {
        bytes += estimatedBytes(it);
    }
    return bytes;
}

} // namespace flamingotally::dispatch
