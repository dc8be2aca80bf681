/** @file profile_type.h Profiles: the scheduling rules for a kind of work. */
#pragma once

#include "core/table.h"

namespace flamingotally
{

struct ProfileTag;
using ProfileRef = Ref<ProfileTag>;

/** Kind of work, which decides how its tasks are placed and retried. */
enum class WorkKind : std::uint8_t {
    Service, ///< Runs until cancelled; restarted when it ends.
    Batch, ///< Tasks that run to completion independently of each other.
    Gang, ///< Tasks that are placed all at once or not at all.
    Request, ///< One task, for whose result the caller waits.
    End,
};

/** Who may submit work under a profile. */
enum class QueueAccess : std::uint8_t {
    Keyed, ///< Callers that present a key of a team.
    Open, ///< Any caller; the work counts against the team that the profile names.
    End,
};

/** Priority class. Work of lower values is placed first. */
enum class Urgency : std::uint8_t {
    Urgent,
    Normal,
    Background,
    End,
};

/** Rule for the lease of an attempt whose worker cannot be reached from outside its failure domain. */
enum class CutOffRule : std::uint8_t {
    Keep, ///< Daemons of the worker's domain continue to renew the lease; only they may let it expire.
    Move, ///< A daemon needs a fresh view to renew the lease. The task may be started elsewhere after lease expiry.
    End,
};

/** Anti-affinity: the units over which the tasks of a job are spread. */
enum class Spread : std::uint8_t {
    None,
    Racks,
    Domains,
    End,
};

} // namespace flamingotally
