/** @file settings_type.h Settings of an entry daemon. Names, bounds and descriptions: table/settings_table.h. */
#pragma once

#include "core/time_type.h"
#include "log_type.h"
#include "policy/policy_type.h"

#include <cstdint>
#include <string>

namespace flamingotally
{

/** Settings of one daemon, with their defaults. */
struct Settings {
    std::string name = "daemon"; ///< Unique name of this daemon.
    std::string domain = "default"; ///< Failure domain of this daemon's host.
    std::string httpAddress = "127.0.0.1:8080"; ///< Address on which the HTTP front end serves callers and operators.
    /** Address on which this daemon serves other daemons: heartbeats over UDP, fetches of records over TCP. */
    std::string peerAddress = "127.0.0.1:8081";
    std::string logAddress = "127.0.0.1:7070"; ///< Address of the platform's log.
    std::string hostListAddress = "127.0.0.1:7070"; ///< Address of the platform's host list.
    std::string clusterSecret; ///< Secret shared by all daemons; authenticates peers.
    /** SHA-256 of the bootstrap operator's key in 64 hexadecimal digits; empty for none. */
    std::string operatorKeyDigest;
    LogLevel logLevel = LogLevel::Info; ///< Lowest level that is logged.

    /** Age of the view of the log above which no keyed work is accepted and no attempt is started. */
    Milliseconds fence{3'000};
    /** Time after the check of the view within which a start order must reach its worker. */
    Milliseconds startSlack{1'000};
    Milliseconds leaseMargin{1'000}; ///< Time added to the fence and the lease before a lease expiry is confirmed.
    Milliseconds heartbeatInterval{500}; ///< Time between two heartbeats to a peer.
    Milliseconds peerTimeout{2'000}; ///< Time without a heartbeat after which a peer owns no workers.
    Milliseconds logPoll{1'000}; ///< Longest time that one read of the log waits for new records.
    Milliseconds appendTimeout{2'000}; ///< Time after which an append without a response counts as lost.
    Milliseconds urgentLinger{2}; ///< Time that an urgent proposal waits for others to join its batch.
    Milliseconds lazyLinger{100}; ///< Time that any other proposal waits for others to join its batch.
    Milliseconds hostListInterval{1'000}; ///< Time between two reads of the host list.
    /** Longest time that a worker may delay its response while it has nothing to report. */
    Milliseconds workerPoll{3'000};
    /** Time, in addition to the wait, after which an exchange with a worker without a response counts as failed. */
    Milliseconds workerTimeout{2'000};
    Milliseconds requestTimeout{10'000}; ///< Longest time that a caller waits for its work to be accepted.
    Milliseconds addressTimeout{35'000}; ///< Longest wait for an address of another process, more than `drainTimeout`.
    Milliseconds drainTimeout{30'000}; ///< Longest time that a shutdown waits for requests in flight.
    /** Time between two snapshots of the tables. Must be at most a third of the log's retention time. */
    Milliseconds snapshotInterval{600'000};
    Milliseconds jobRetention{600'000}; ///< Time for which ended jobs and their results are retained.

    std::uint64_t appendBudget = 300; ///< Largest number of appends per second by all daemons together.
    std::uint64_t batchBytes = 64 * 1024; ///< Size at which a batch is closed.
    std::uint64_t snapshotChunkBytes = 48 * 1024; ///< Size of one part of a snapshot.
    std::uint64_t maxBodyBytes = 256 * 1024; ///< Size of the largest accepted body of a caller's request.
    /** Number of requests in progress above which new requests are refused as overload. */
    std::uint64_t maxRequestsInHand = 4'096;
    /** Size of the largest result that is stored in the log; larger results stay with the worker. */
    std::uint64_t inlineResultBytes = 4'096;
    PolicyKind policy = PolicyKind::Share; ///< Order and placement of waiting work. Must be equal on all daemons.
    std::uint64_t setAsideFailures = 8; ///< Number of recent failures of a worker at which it may be set aside.
};

} // namespace flamingotally
