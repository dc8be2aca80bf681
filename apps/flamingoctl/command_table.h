/** @file command_table.h The commands of flamingoctl. */
#pragma once

#include "commands.h"
#include "core/enum_table.h"

namespace flamingotally
{

/** A command of flamingoctl. */
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

/** Properties of a command. */
struct CtlCommandRow {
    CtlCommand value;
    std::string_view name; ///< One or two words, as typed on the command line.
    std::string_view arguments; ///< Names of the arguments; "[X]" is optional, "X..." may be repeated.
    std::size_t argumentCount; ///< Number of mandatory arguments.
    std::string_view text; ///< Help sentence.
    ExitCode (*run)(Session &session, const Arguments &arguments); ///< Function that executes the command.
};

constexpr EnumTable<CtlCommand, CtlCommandRow> ctlCommandTable{{
    {CtlCommand::Submit, "submit", "", 0, "Submit a job.", submit},
    {CtlCommand::Status, "status", "[JOB]", 0, "Show a job, or the daemon that responds.", showStatus},
    {CtlCommand::Result, "result", "JOB", 1, "Write the result of a task to standard output.", showResult},
    {CtlCommand::Cancel, "cancel", "JOB", 1, "Cancel a job.", cancel},
    {CtlCommand::Watch, "watch", "JOB", 1, "Show the state of a job until it has ended.", watch},
    {CtlCommand::Explain, "explain", "JOB", 1, "Show why a job is waiting.", explain},
    {CtlCommand::Jobs, "jobs", "", 0, "List the unfinished jobs of the team that the key belongs to.", listJobs},
    {CtlCommand::Trace,
     "trace",
     "JOB FILE...",
     2,
     "Join the log lines of entry daemons into the trace of a job.",
     traceJob},
    {CtlCommand::ProfilePublish, "profile publish", "NAME FILE", 2, "Publish a profile.", publishProfile},
    {CtlCommand::ProfileShow, "profile show", "NAME", 1, "Print a profile as TOML.", showProfile},
    {CtlCommand::ProfileDiff,
     "profile diff",
     "NAME",
     1,
     "Compare a profile with the earlier version that --to names.",
     diffProfile},
    {CtlCommand::ProfileRollback,
     "profile rollback",
     "NAME",
     1,
     "Publish again the version of a profile that --to names.",
     rollBackProfile},
    {CtlCommand::ProfileDelete, "profile delete", "NAME", 1, "Delete a profile.", deleteProfile},
    {CtlCommand::ProfileList, "profile list", "", 0, "List the profiles.", listProfiles},
    {CtlCommand::KeyGrant, "key grant", "LABEL", 1, "Grant a key.", grantKey},
    {CtlCommand::KeyWithdraw, "key withdraw", "LABEL", 1, "Withdraw a key.", withdrawKey},
    {CtlCommand::KeyList, "key list", "", 0, "List the keys.", listKeys},
    {CtlCommand::TeamSet, "team set", "NAME", 1, "Create a team, or change the values that are given.", setTeam},
    {CtlCommand::TeamShow, "team show", "NAME", 1, "Show a team.", showTeam},
    {CtlCommand::TeamList, "team list", "", 0, "List the teams.", listTeams},
    {CtlCommand::TeamDelete, "team delete", "NAME", 1, "Delete a team.", deleteTeam},
    {CtlCommand::DomainOut, "domain out", "NAME", 1, "Take a failure domain out of service.", takeDomainOut},
    {CtlCommand::DomainIn, "domain in", "NAME", 1, "Return a failure domain to service.", takeDomainIn},
    {CtlCommand::DomainList, "domain list", "", 0, "List the failure domains.", listDomains},
    {CtlCommand::Daemons, "daemons", "", 0, "List the daemons.", listDaemons},
    {CtlCommand::Workers, "workers", "", 0, "List the workers.", listWorkers},
    {CtlCommand::History, "history", "", 0, "List the changes to the configuration.", showHistory},
    {CtlCommand::Top, "top", "", 0, "Show teams, failure domains, daemons, profiles and refusals.", showTop},
    {CtlCommand::Refusals, "refusals", "", 0, "List all reasons for refusals and their meaning.", listRefusals},
}};
static_assert(isComplete(ctlCommandTable));

} // namespace flamingotally
