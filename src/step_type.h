/** @file step_type.h The steps at which an error can arise. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** Step of the work in hand. Every error names one. */
enum class Step : std::uint8_t {
    ReadSettings,
    Listen,
    ParseRequest,
    Authenticate,
    Admit,
    Append,
    ReadLog,
    ApplyRecord,
    LoadSnapshot,
    WriteSnapshot,
    ListHosts,
    Heartbeat,
    FetchRecords,
    Place,
    Start,
    Renew,
    Stop,
    Sync,
    FetchResult,
    Answer,
    Shutdown,
    End,
};

} // namespace flamingotally
