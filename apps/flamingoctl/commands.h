/** @file commands.h One function per command. Each sends its requests, prints the result and returns the exit code. */
#pragma once

#include "session.h"

#include <string>
#include <vector>

namespace flamingotally
{

using Arguments = std::vector<std::string>;

ExitCode submit(Session &session, const Arguments &arguments);
ExitCode showStatus(Session &session, const Arguments &arguments);
ExitCode showResult(Session &session, const Arguments &arguments);
ExitCode cancel(Session &session, const Arguments &arguments);
ExitCode watch(Session &session, const Arguments &arguments);
ExitCode explain(Session &session, const Arguments &arguments);
ExitCode listJobs(Session &session, const Arguments &arguments);
ExitCode traceJob(Session &session, const Arguments &arguments);

ExitCode publishProfile(Session &session, const Arguments &arguments);
ExitCode showProfile(Session &session, const Arguments &arguments);
ExitCode diffProfile(Session &session, const Arguments &arguments);
ExitCode rollBackProfile(Session &session, const Arguments &arguments);
ExitCode deleteProfile(Session &session, const Arguments &arguments);
ExitCode listProfiles(Session &session, const Arguments &arguments);

ExitCode grantKey(Session &session, const Arguments &arguments);
ExitCode withdrawKey(Session &session, const Arguments &arguments);
ExitCode listKeys(Session &session, const Arguments &arguments);

ExitCode setTeam(Session &session, const Arguments &arguments);
ExitCode showTeam(Session &session, const Arguments &arguments);
ExitCode listTeams(Session &session, const Arguments &arguments);
ExitCode deleteTeam(Session &session, const Arguments &arguments);

ExitCode takeDomainOut(Session &session, const Arguments &arguments);
ExitCode takeDomainIn(Session &session, const Arguments &arguments);
ExitCode listDomains(Session &session, const Arguments &arguments);

ExitCode listDaemons(Session &session, const Arguments &arguments);
ExitCode listWorkers(Session &session, const Arguments &arguments);
ExitCode showHistory(Session &session, const Arguments &arguments);
ExitCode showTop(Session &session, const Arguments &arguments);
ExitCode listRefusals(Session &session, const Arguments &arguments);

} // namespace flamingotally
