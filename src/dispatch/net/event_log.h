/** @file event_log.h The structured log on standard output, with a bounded buffer and non-blocking writes. */
#pragma once

#include "core/time_type.h"
#include "dispatch/event_type.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace flamingotally
{

/** Buffers log lines and writes them without blocking. Lines that do not fit are dropped and counted. */
class EventLog
{
public:
    /**
     * Creates a log and makes standard output non-blocking.
     * @param name Name of the daemon, which each line contains.
     * @param minLevel Lines below this level are not written.
     */
    EventLog(std::string name, LogLevel minLevel);

    /**
     * Adds a line to the buffer.
     * @param event Event to log.
     * @param dropped Incremented when the line does not fit into the buffer and is dropped.
     */
    void write(const dispatch::Event &event, std::uint64_t &dropped);

    /** Writes as much of the buffer as standard output accepts without blocking. */
    void flush();

private:
    static constexpr std::size_t maxBytes = 256 * 1024; ///< Maximum size of the buffer.
    static constexpr std::size_t maxBytesForFrequent = maxBytes / 4; ///< Frequent lines do not grow it beyond this.

    std::string m_name;
    LogLevel m_minLevel;
    std::string m_buf;
};

} // namespace flamingotally
