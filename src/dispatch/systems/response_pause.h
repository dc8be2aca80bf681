/** @file response_pause.h Pauses after responses of workers that orders and polls share. */
#pragma once

#include "core/time_type.h"

namespace flamingotally::dispatch
{

/**
 * Pause before an order or a poll without a response is sent again. It is short, as sending an order twice is harmless,
 * and the order without a response may be executed late.
 */
constexpr Milliseconds resendPause{20};

/**
 * How long a worker that reports itself unhealthy gets no tasks, a worker whose address was taken over is not polled,
 * and a task whose start order was rejected as malformed is not placed.
 */
constexpr Milliseconds unhealthyPause{2'000};

} // namespace flamingotally::dispatch
