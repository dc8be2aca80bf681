/** @file step_type.h Processing steps at which an error can occur. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** Processing step. Every error carries the step at which it occurred. */
enum class Step : std::uint8_t {
    ReadArguments,
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
