/** @file table_builder.h Fills tables by hand, for tests and benchmarks of what only reads them. */
#pragma once

#include "tables.h"

#include <string>

namespace flamingotally
{

/** Adds rows and keeps the sums and links between them right. */
class TableBuilder
{
public:
    DomainRef domain(const std::string &name);
    RackRef rack(const std::string &name, DomainRef domain);
    WorkerRef worker(RackRef rack, const Resources &total);

    /** Adds a team with a weight and an upper limit. */
    TeamRef team(const std::string &name, std::uint32_t share, const Resources &limit);

    /** Adds a job all of whose tasks wait since a time. */
    JobRef
    job(TeamRef team, const ProfileSpec &profileSpec, const Resources &perTask, std::uint32_t count, LogTime since);

    /** Gives a waiting task a live attempt. */
    AttemptRef place(TaskRef task, WorkerRef worker, LogTime at);

    /** Task of a job by its ordinal. */
    TaskRef task(JobRef job, std::uint32_t ordinal) const;

    Tables tables;

private:
    std::uint64_t m_requests = 0;
};

} // namespace flamingotally
