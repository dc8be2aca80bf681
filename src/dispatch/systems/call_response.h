/** @file call_response.h Answers calls of callers, and gives up on those that have waited for too long. */
#pragma once

#include "dispatch/entry_base.h"

#include <string>
#include <string_view>

namespace flamingotally::dispatch
{

/**
 * Answers a call. Logs every result but Done; counts calls that are undecided.
 * @param result Any but NotRun, for which refuseCall() is used.
 * @param cause Static text.
 */
void respondToCall(Entry &entry, const Call &call, CallResult result, std::string_view cause, const TickTime &time);

/**
 * Answers a call as not run, with the time after which its caller should return, spread around a mean.
 * @param cause Static text.
 * @param inputs Inputs of the decision, as key=value pairs, for the log.
 */
void refuseCall(Entry &entry,
                const Call &call,
                RefusalReason reason,
                std::string_view cause,
                Milliseconds meanDelay,
                const TickTime &time,
                const std::string &inputs = {});

/** Returns the time at which a call that has not been answered is given up. */
MonotonicTime giveUpAt(const Entry &entry, const Call &call);

/**
 * Gives up on a call that has waited for as long as it may. A call that was certainly not executed is answered as not
 * run. Otherwise its record may be stored, so that it waits further, and is answered as undecided at a second limit.
 * The record of a cancellation is never withdrawn: its caller may not retry, and the job must end all the same.
 * @return False when the call waits further.
 */
bool giveUp(Entry &entry, const Call &call, const TickTime &time);

} // namespace flamingotally::dispatch
