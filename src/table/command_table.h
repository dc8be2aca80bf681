/** @file command_table.h Names of the kinds of commands and of the results of decoding a record. */
#pragma once

#include "command_type.h"
#include "core/enum_table.h"

namespace flamingotally
{

constexpr EnumTable<CommandKind> commandKindTable{{
    {CommandKind::JoinDaemon, "join_daemon"},         {CommandKind::LeaveDaemon, "leave_daemon"},
    {CommandKind::RegisterWorker, "register_worker"}, {CommandKind::SetWorkerService, "set_worker_service"},
    {CommandKind::RemoveWorker, "remove_worker"},     {CommandKind::SetTeam, "set_team"},
    {CommandKind::DeleteTeam, "delete_team"},         {CommandKind::GrantKey, "grant_key"},
    {CommandKind::WithdrawKey, "withdraw_key"},       {CommandKind::PublishProfile, "publish_profile"},
    {CommandKind::DeleteProfile, "delete_profile"},   {CommandKind::SetDomain, "set_domain"},
    {CommandKind::SubmitJob, "submit_job"},           {CommandKind::PlaceTasks, "place_tasks"},
    {CommandKind::EndAttempts, "end_attempts"},       {CommandKind::MarkLapsing, "mark_lapsing"},
    {CommandKind::ConfirmLapsed, "confirm_lapsed"},   {CommandKind::StopAttempts, "stop_attempts"},
    {CommandKind::CancelJob, "cancel_job"},           {CommandKind::WithdrawTasks, "withdraw_tasks"},
    {CommandKind::ExpireRecords, "expire_records"},   {CommandKind::SwitchVersion, "switch_version"},
    {CommandKind::SnapshotChunk, "snapshot_chunk"},
}};
static_assert(isComplete(commandKindTable));

constexpr EnumTable<EntryState> entryStateTable{{
    {EntryState::Readable, "readable"},
    {EntryState::Malformed, "malformed"},
    {EntryState::NewerVersion, "newer_version"},
}};
static_assert(isComplete(entryStateTable));

} // namespace flamingotally
