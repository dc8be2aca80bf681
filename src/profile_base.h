/** @file profile_base.h Table of profiles. */
#pragma once

#include "core/time_type.h"
#include "profile_type.h"

#include <string>

namespace flamingotally
{

/** How a kind of work is treated. Checked when it is published. */
struct ProfileSpec {
    WorkKind kind = WorkKind::Batch;
    QueueAccess access = QueueAccess::Keyed;
    Urgency urgency = Urgency::Normal;
    CutOffRule whenCutOff = CutOffRule::Move;
    Spread spread = Spread::None;
    bool idempotent = true; ///< Whether a task whose start may have arrived may be started again.
    bool checkpoint = false; ///< Whether its tasks can be checkpointed, and so preempted and drained.
    std::uint32_t maxRetries = 0; ///< Further attempts after the first; only for idempotent work.
    Milliseconds retryBackoff{500}; ///< Pause before the first retry; doubles with each.
    Milliseconds lease{10'000}; ///< How long a worker runs an attempt without renewal.
    Milliseconds maxWait{0}; ///< Work that has not started by then is withdrawn; zero for no bound.
    Milliseconds maxRun{0}; ///< An attempt that runs longer is stopped; zero for no bound.
    std::string team; ///< Team it belongs to; empty for all teams. Open profiles need one.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(kind, access, urgency, whenCutOff, spread, idempotent, checkpoint, maxRetries, retryBackoff, lease);
        visitor(maxWait, maxRun, team);
    }
};

/** What a profile is called and which version it is. */
struct ProfileIdentity {
    std::string name; ///< Unique name.
    std::uint64_t version = 0; ///< Rises with every publication; a rollback is a new version.
    bool deleted = false; ///< Tombstone: takes no new work; work in hand goes on by it.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, version, deleted);
    }
};

using ProfileTable = Table<ProfileTag, ProfileIdentity, ProfileSpec>;

} // namespace flamingotally
