#include "net/http_eviction.h"

namespace flamingotally
{

namespace
{

const std::optional<PhaseStart> &in(const OldestByPhase &oldest, ConnectionPhase phase)
{
    return oldest[static_cast<std::size_t>(phase)];
}

bool isSlow(const std::optional<PhaseStart> &start, MonotonicTime now)
{
    return start && now - start->at >= slowTransfer;
}

} // namespace

OldestByPhase olderOf(const OldestByPhase &one, const OldestByPhase &other)
{
    OldestByPhase result = one;
    for (std::size_t n = 0; n < result.size(); ++n) {
        if (other[n] && (!result[n] || other[n]->number < result[n]->number)) {
            result[n] = other[n];
        }
    }
    return result;
}

std::optional<ConnectionPhase> phaseToFreeMemory(const OldestByPhase &oldest, MonotonicTime now)
{
    if (in(oldest, ConnectionPhase::Receiving)) {
        return ConnectionPhase::Receiving;
    }
    if (isSlow(in(oldest, ConnectionPhase::Sending), now)) {
        return ConnectionPhase::Sending;
    }
    return std::nullopt;
}

std::optional<ConnectionPhase> phaseToFreeConnection(const OldestByPhase &oldest, MonotonicTime now)
{
    if (isSlow(in(oldest, ConnectionPhase::Receiving), now)) {
        return ConnectionPhase::Receiving;
    }
    if (in(oldest, ConnectionPhase::Idle)) {
        return ConnectionPhase::Idle;
    }
    if (in(oldest, ConnectionPhase::Receiving)) {
        return ConnectionPhase::Receiving;
    }
    return std::nullopt;
}

} // namespace flamingotally
