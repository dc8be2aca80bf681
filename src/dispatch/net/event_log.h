/** @file event_log.h The structured log on standard output: bounded, and never waited for. */
#pragma once

#include "core/time_type.h"
#include "dispatch/event_type.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace flamingotally
{

/** Buffers lines and writes as many as the reader takes. What does not fit is dropped and counted. */
class EventLog
{
public:
    /**
     * Makes a log.
     * @param name Name of the daemon; stands in each line.
     * @param least Lines below this level are not written.
     */
    EventLog(std::string name, LogLevel least);

    /**
     * Adds a line.
     * @param event What happened.
     * @param dropped Raised for each line that does not fit.
     */
    void write(const dispatch::Event &event, std::uint64_t &dropped);

    /** Writes what standard output takes without waiting. */
    void flush();

private:
    static constexpr std::size_t maxBytes = 256 * 1024;

    std::string m_name;
    LogLevel m_least;
    std::string m_buf;
};

} // namespace flamingotally
