/** @file entry_settings.h Settings of an entry daemon that dispatches work through the platform's store. */
#pragma once

#include "core/time_type.h"
#include "log_type.h"

#include <cstdint>
#include <string>

namespace flamingotally::dispatch
{

/** Settings with their defaults. table/entry_settings_table.h has their bounds and descriptions. */
struct EntrySettings {
    std::string name = "entry"; ///< Unique name of the daemon.
    std::string domain = "local"; ///< Failure domain of the daemon's host.
    std::string frontAddress = "127.0.0.1:8080"; ///< Address on which callers connect.
    std::string readyAddress = "127.0.0.1:8081"; ///< Address on which the load balancer checks the daemon.
    std::string peerAddress = "127.0.0.1:8082"; ///< Address on which other daemons connect.
    std::string metricsAddress = "127.0.0.1:8083"; ///< Address on which metrics are served.
    std::string storeAddress = "127.0.0.1:8070"; ///< Address of the platform's store.
    std::string adviceAddress{}; ///< Address of the policy service; empty for none.
    std::string processorShare = "1"; ///< Processor capacity of the host in cores, as a decimal number.
    /** Regions of the failure domains, as "domain=region" pairs separated by commas; empty for a single region. */
    std::string regions{};
    std::uint32_t memoryMb = 0; ///< Memory that the process may use, in units of 2^20 bytes; zero when unknown.
    std::uint32_t maxDescriptors = 0; ///< File descriptors that the process may open; zero when unknown.
    LogLevel logLevel = LogLevel::Info; ///< Lowest level of the log lines that are written.
    /** Maximum age of the view of the configuration by which a request is decided. */
    Milliseconds configFreshness{1'700};
    Milliseconds followerReadPause{180}; ///< Pause of a follower between two reads of the journal.
    Milliseconds ownerReadPause{35}; ///< Pause of the owner between two reads of the journal.
    Milliseconds journalReadWait{500}; ///< How long a read of the journal may wait for a record.
    Milliseconds heartbeatInterval{300}; ///< Longest time between two writes of the owner into the journal.
    /** An owner that has written nothing into the journal for this long is considered gone. */
    Milliseconds ownerTimeout{1'300};
    /** Delay between the claims of two daemons that notice a missing owner at the same time. */
    Milliseconds claimStagger{60};
    /** An owner that has stored nothing in the journal for this long renews no leases and starts nothing. */
    Milliseconds isolationLimit{3'000};
    Milliseconds lease{5'500}; ///< Duration of the leases of workers.
    Milliseconds pollWait{500}; ///< How long a worker may wait for a run to end before it answers a poll.
    Milliseconds orderTimeout{200}; ///< Time-out of a start or stop order.
    Milliseconds appendPause{20}; ///< Pause between two batches that a writer sends to the journal.
    Milliseconds refusingStoreTimeout{400}; ///< How long a request waits while the store refuses records.
    Milliseconds unresponsiveStoreTimeout{2'000}; ///< How long a request waits while the store does not respond.
    Milliseconds addressTimeout{10'000}; ///< Longest wait for an address of another process; a shutdown takes 5 s.
    Milliseconds drainTime{3'000}; ///< How long a daemon that shuts down still accepts connections.
    Milliseconds jobRetention{600'000}; ///< How long jobs are retained after their end.
    /** Time after which the past use of a team counts half as much; zero takes no account of past use. */
    Milliseconds useHalfLife{3'600'000};
    /** Weight of past use against present use in the order of waiting work, in percent. */
    std::uint32_t pastUseWeight = 100;
};

/** Returns the processor share in thousandths of a core; zero when the setting is not a positive number. */
std::uint32_t processorMilli(const EntrySettings &settings);

} // namespace flamingotally::dispatch
