/** @file profile_base.h Table of profiles. */
#pragma once

#include "core/time_type.h"
#include "profile_type.h"

#include <string>

namespace flamingotally
{

/** Scheduling rules for a kind of work. Validated when the profile is published. */
struct ProfileSpec {
    WorkKind kind = WorkKind::Batch;
    QueueAccess access = QueueAccess::Keyed;
    Urgency urgency = Urgency::Normal;
    /** Rule for leases in a failure domain that cannot be reached from outside. */
    CutOffRule whenCutOff = CutOffRule::Move;
    Spread spread = Spread::None;
    bool idempotent = true; ///< Whether a task may be started again although an earlier attempt of it may have run.
    bool checkpoint = false; ///< Whether the tasks can be checkpointed, and therefore preempted and drained.
    std::uint32_t maxRetries = 0; ///< Largest number of retries after failures of a task; only for idempotent work.
    Milliseconds retryBackoff{500}; ///< Backoff before the first retry; doubles with each further retry.
    Milliseconds lease{10'000}; ///< Time for which a worker runs an attempt without a renewal.
    /** Time after acceptance at which a task that was never placed is withdrawn; zero for no bound. */
    Milliseconds maxWait{0};
    Milliseconds maxRun{0}; ///< Time after its placement at which an attempt is stopped; zero for no bound.
    std::string team; ///< Team that may use the profile; empty for all teams. Must be set for open profiles.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(kind, access, urgency, whenCutOff, spread, idempotent, checkpoint, maxRetries, retryBackoff, lease);
        visitor(maxWait, maxRun, team);
    }
};

/** Name and version of a profile. */
struct ProfileIdentity {
    std::string name; ///< Unique name.
    std::uint64_t version = 0; ///< Increases with every publication; a rollback is a new version.
    /** Tombstone: no new job is accepted. Accepted jobs continue under their copies of the profile. */
    bool deleted = false;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, version, deleted);
    }
};

using ProfileTable = Table<ProfileTag, ProfileIdentity, ProfileSpec>;

} // namespace flamingotally
