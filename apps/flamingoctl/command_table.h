/** @file command_table.h The commands of flamingoctl. */
#pragma once

#include "commands.h"
#include "core/enum_table.h"

namespace flamingotally
{

/** A command. */
enum class CtlCommand : std::uint8_t {
    Submit,
    Status,
    Result,
    Cancel,
    Watch,
    Explain,
    Jobs,
    Trace,
    ProfilePublish,
    ProfileShow,
    ProfileDiff,
    ProfileRollback,
    ProfileDelete,
    ProfileList,
    KeyGrant,
    KeyWithdraw,
    KeyList,
    TeamSet,
    TeamShow,
    TeamList,
    TeamDelete,
    DomainOut,
    DomainIn,
    DomainList,
    Daemons,
    Workers,
    History,
    Top,
    Refusals,
    End,
};

/** What is known of a command. */
struct CtlCommandRow {
    CtlCommand value; ///< The command.
    std::string_view name; ///< Its words.
    std::string_view arguments; ///< Their names, for the help.
    std::size_t argumentCount; ///< Number of arguments that it needs.
    std::string_view text; ///< One sentence for people.
    ExitCode (*run)(Session &session, const Arguments &arguments); ///< Runs it.
};

constexpr EnumTable<CtlCommand, CtlCommandRow> ctlCommandTable{{
    {CtlCommand::Submit, "submit", "", 0, "Submit a job.", submit},
    {CtlCommand::Status, "status", "[JOB]", 0, "Show a job, or the daemon.", showStatus},
    {CtlCommand::Result, "result", "JOB", 1, "Write the result of a task to standard output.", showResult},
    {CtlCommand::Cancel, "cancel", "JOB", 1, "Cancel a job.", cancel},
    {CtlCommand::Watch, "watch", "JOB", 1, "Show a job until it has ended.", watch},
    {CtlCommand::Explain, "explain", "JOB", 1, "Say why a job waits.", explain},
    {CtlCommand::Jobs, "jobs", "", 0, "List the jobs of the key's team that have not ended.", listJobs},
    {CtlCommand::Trace,
     "trace",
     "JOB FILE...",
     2,
     "Join log lines of entry daemons into the story of a job.",
     traceJob},
    {CtlCommand::ProfilePublish, "profile publish", "NAME FILE", 2, "Publish a profile.", publishProfile},
    {CtlCommand::ProfileShow, "profile show", "NAME", 1, "Print the text of a profile.", showProfile},
    {CtlCommand::ProfileDiff, "profile diff", "NAME", 1, "Compare a profile with version --to.", diffProfile},
    {CtlCommand::ProfileRollback, "profile rollback", "NAME", 1, "Publish version --to once more.", rollBackProfile},
    {CtlCommand::ProfileDelete, "profile delete", "NAME", 1, "Delete a profile.", deleteProfile},
    {CtlCommand::ProfileList, "profile list", "", 0, "List the profiles.", listProfiles},
    {CtlCommand::KeyGrant, "key grant", "LABEL", 1, "Grant a key.", grantKey},
    {CtlCommand::KeyWithdraw, "key withdraw", "LABEL", 1, "Withdraw a key.", withdrawKey},
    {CtlCommand::KeyList, "key list", "", 0, "List the keys.", listKeys},
    {CtlCommand::TeamSet, "team set", "NAME", 1, "Create a team, or change what is given.", setTeam},
    {CtlCommand::TeamShow, "team show", "NAME", 1, "Show a team.", showTeam},
    {CtlCommand::TeamList, "team list", "", 0, "List the teams.", listTeams},
    {CtlCommand::TeamDelete, "team delete", "NAME", 1, "Delete a team.", deleteTeam},
    {CtlCommand::DomainOut, "domain out", "NAME", 1, "Take a failure domain out of service.", takeDomainOut},
    {CtlCommand::DomainIn, "domain in", "NAME", 1, "Take a failure domain back into service.", takeDomainIn},
    {CtlCommand::DomainList, "domain list", "", 0, "List the failure domains.", listDomains},
    {CtlCommand::Daemons, "daemons", "", 0, "List the daemons.", listDaemons},
    {CtlCommand::Workers, "workers", "", 0, "List the workers.", listWorkers},
    {CtlCommand::History, "history", "", 0, "List the changes of the configuration.", showHistory},
    {CtlCommand::Top, "top", "", 0, "Show teams, failure domains, daemons, profiles and refusals.", showTop},
    {CtlCommand::Refusals, "refusals", "", 0, "List all reasons of refusals and what they mean.", listRefusals},
}};
static_assert(isComplete(ctlCommandTable));

} // namespace flamingotally
