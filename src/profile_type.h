/** @file profile_type.h Profiles: how a kind of work is treated. */
#pragma once

#include "core/table.h"

namespace flamingotally
{

struct ProfileTag;
using ProfileRef = Ref<ProfileTag>;

/** Shape of the work. */
enum class WorkKind : std::uint8_t {
    Service, ///< Runs until cancelled; started again when it ends.
    Batch, ///< Tasks that run to their end, each on its own.
    Gang, ///< Tasks that start all at once or not at all.
    Request, ///< One task with an answer that its caller waits for.
    End,
};

/** Who may submit. */
enum class QueueAccess : std::uint8_t {
    Keyed, ///< Bearers of a key of a team.
    Open, ///< Anybody; the work counts against the team that the profile names.
    End,
};

/** Class of urgency. Lower values go first. */
enum class Urgency : std::uint8_t {
    Urgent,
    Normal,
    Background,
    End,
};

/** What becomes of a lease whose worker cannot be reached from outside its failure domain. */
enum class CutOffRule : std::uint8_t {
    Keep, ///< The domain's own daemons go on renewing; nobody starts the task elsewhere until that domain ends it.
    Move, ///< Renewal needs a fresh view; after the fence, the lease and a margin it may run elsewhere.
    End,
};

/** Over what the tasks of a job are spread. */
enum class Spread : std::uint8_t {
    None,
    Racks,
    Domains,
    End,
};

} // namespace flamingotally
