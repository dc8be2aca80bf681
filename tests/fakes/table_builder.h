/** @file table_builder.h Fills tables directly, for tests and benchmarks of code that only reads them. */
#pragma once

#include "tables.h"

#include <string>

namespace flamingotally
{

/** Adds rows, and keeps sums and references between rows consistent. */
class TableBuilder
{
public:
    DomainRef domain(const std::string &name);
    RackRef rack(const std::string &name, DomainRef domain);
    WorkerRef worker(RackRef rack, const Resources &total);

    /** Adds a team with a share and a limit. */
    TeamRef team(const std::string &name, std::uint32_t share, const Resources &limit);

    /** Adds a job whose tasks have all been waiting since a time. */
    JobRef
    job(TeamRef team, const ProfileSpec &profileSpec, const Resources &perTask, std::uint32_t count, LogTime since);

    /** Places a waiting task on a worker. @return The new attempt. */
    AttemptRef place(TaskRef task, WorkerRef worker, LogTime at);

    /** Returns the task of a job that has the given ordinal. */
    TaskRef task(JobRef job, std::uint32_t ordinal) const;

    Tables tables;

private:
    std::uint64_t m_requests = 0;
};

} // namespace flamingotally
