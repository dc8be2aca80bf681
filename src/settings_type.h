/** @file settings_type.h Settings of an entry daemon. Their table: table/settings_table.h. */
#pragma once

#include "core/time_type.h"
#include "log_type.h"
#include "policy/policy_type.h"

#include <cstdint>
#include <string>

namespace flamingotally
{

/** All settings of one daemon, with their defaults. */
struct Settings {
    std::string name = "daemon"; ///< Unique name of this daemon.
    std::string domain = "default"; ///< Failure domain of its host.
    std::string httpAddress = "127.0.0.1:8080"; ///< Front for callers and operators.
    std::string peerAddress = "127.0.0.1:8081"; ///< Peers: UDP heartbeats, TCP record fetch.
    std::string logAddress = "127.0.0.1:7070"; ///< The platform's log.
    std::string hostListAddress = "127.0.0.1:7070"; ///< The platform's host list.
    std::string clusterSecret; ///< Shared secret that authenticates peers.
    std::string operatorKeyDigest; ///< SHA-256 of the bootstrap operator's key, 64 hexadecimal digits.
    LogLevel logLevel = LogLevel::Info; ///< Least level that is logged.

    Milliseconds fence{3'000}; ///< Age of the view beyond which nothing is accepted or started.
    Milliseconds startSlack{1'000}; ///< How long after the freshness check a start may arrive.
    Milliseconds leaseMargin{1'000}; ///< Added to the fence and the lease before a lapse is confirmed.
    Milliseconds heartbeatInterval{500};
    Milliseconds peerTimeout{2'000}; ///< Silence after which a peer owns nothing.
    Milliseconds logPoll{1'000}; ///< Longest wait of one read of the log.
    Milliseconds appendTimeout{2'000}; ///< An append unanswered by then counts as lost.
    Milliseconds urgentLinger{2}; ///< How long an urgent proposal waits for others.
    Milliseconds lazyLinger{100}; ///< How long any other proposal waits for others.
    Milliseconds hostListInterval{1'000}; ///< Between reads of the host list.
    Milliseconds workerPoll{3'000}; ///< Longest wait of one exchange with a worker.
    Milliseconds workerTimeout{2'000}; ///< An exchange unanswered this long after its wait counts as failed.
    Milliseconds requestTimeout{10'000}; ///< Longest time that a caller is kept waiting for acceptance.
    Milliseconds drainTimeout{30'000}; ///< Longest time that a shutdown waits for requests in flight.
    Milliseconds snapshotInterval{
        600'000}; ///< Between snapshots of the tables; at most a third of the log's retention.
    Milliseconds jobRetention{600'000}; ///< How long ended jobs and their results are kept.

    std::uint64_t appendBudget = 300; ///< Appends a second that all daemons together may make.
    std::uint64_t batchBytes = 64 * 1024; ///< Size at which a batch is closed.
    std::uint64_t snapshotChunkBytes = 48 * 1024; ///< Size of one part of a snapshot.
    std::uint64_t maxBodyBytes = 256 * 1024; ///< Largest body of a caller's request.
    std::uint64_t maxRequestsInHand = 4'096; ///< Requests beyond this are refused as overload.
    std::uint64_t inlineResultBytes = 4'096; ///< Larger results stay with the worker.
    PolicyKind policy = PolicyKind::Share; ///< Order and placement of waiting work; equal on all daemons.
    std::uint64_t setAsideFailures = 8; ///< Recent failures of a worker from which it may be set aside.
};

} // namespace flamingotally
