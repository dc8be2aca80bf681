/** @file daemon_base.h Table of entry daemons. */
#pragma once

#include "core/time_type.h"
#include "daemon_type.h"
#include "domain_type.h"

#include <string>

namespace flamingotally
{

/** An entry daemon that has joined through the log. */
struct DaemonIdentity {
    std::string name; ///< Unique name from its settings.
    std::string peerAddress; ///< "IP:port" of its peer endpoint, UDP and TCP.
    std::string httpAddress; ///< "IP:port" of its HTTP front end.
    DomainRef domain;
    std::uint64_t incarnation = 0; ///< Incarnation of its process; a newer one of the same name replaces it.
    std::uint32_t maxRecordVersion = 0; ///< Newest record version that it can apply.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, peerAddress, httpAddress, domain, incarnation, maxRecordVersion);
    }
};

/** State of an entry daemon: number of the last batch applied from it, and whether it is leaving. */
struct DaemonState {
    /** Sequence number of its last applied batch. A batch that was appended twice is applied only once. */
    std::uint64_t lastSequence = 0;
    bool leaving = false; ///< True once its shutdown has begun; from then on it owns no workers.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(lastSequence, leaving);
    }
};

using DaemonTable = Table<DaemonTag, DaemonIdentity, DaemonState>;

} // namespace flamingotally
