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
    std::string httpAddress; ///< "IP:port" of its front.
    DomainRef domain;
    std::uint64_t incarnation = 0; ///< Of the running process; a new one supersedes the old.
    std::uint32_t maxRecordVersion = 0; ///< Newest record version it can apply.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, peerAddress, httpAddress, domain, incarnation, maxRecordVersion);
    }
};

/** How far its batches are applied. */
struct DaemonState {
    std::uint64_t lastSequence = 0; ///< Sequence of its last applied batch; a resent one is passed over.
    bool leaving = false; ///< Shutting down: owns nothing.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(lastSequence, leaving);
    }
};

using DaemonTable = Table<DaemonTag, DaemonIdentity, DaemonState>;

} // namespace flamingotally
