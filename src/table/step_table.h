/** @file step_table.h Names of the processing steps. */
#pragma once

#include "core/enum_table.h"
#include "step_type.h"

namespace flamingotally
{

constexpr EnumTable<Step> stepTable{{
    {Step::ReadArguments, "read_arguments"},
    {Step::ReadSettings, "read_settings"},
    {Step::Listen, "listen"},
    {Step::ParseRequest, "parse_request"},
    {Step::Authenticate, "authenticate"},
    {Step::Admit, "admit"},
    {Step::Append, "append"},
    {Step::ReadLog, "read_log"},
    {Step::ApplyRecord, "apply_record"},
    {Step::LoadSnapshot, "load_snapshot"},
    {Step::WriteSnapshot, "write_snapshot"},
    {Step::ListHosts, "list_hosts"},
    {Step::Heartbeat, "heartbeat"},
    {Step::FetchRecords, "fetch_records"},
    {Step::Place, "place"},
    {Step::Start, "start"},
    {Step::Renew, "renew"},
    {Step::Stop, "stop"},
    {Step::Sync, "sync"},
    {Step::FetchResult, "fetch_result"},
    {Step::Answer, "answer"},
    {Step::Shutdown, "shutdown"},
}};
static_assert(isComplete(stepTable));

} // namespace flamingotally
