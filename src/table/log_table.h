/** @file log_table.h Names of the log levels. */
#pragma once

#include "core/enum_table.h"
#include "log_type.h"

namespace flamingotally
{

constexpr EnumTable<LogLevel> logLevelTable{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};
static_assert(isComplete(logLevelTable));

constexpr const auto &namesOf(LogLevel)
{
    return logLevelTable;
}

} // namespace flamingotally
