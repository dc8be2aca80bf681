/** @file entry_settings.h Settings of an entry daemon that dispatches work through the platform's store. */
#pragma once

#include "core/time_type.h"
#include "log_type.h"

#include <cstdint>
#include <string>

namespace flamingotally::dispatch
{

/** Settings with their defaults. Bounds and texts: table/entry_settings_table.h. */
struct EntrySettings {
    std::string name = "entry";
    std::string domain = "local";
    std::string frontAddress = "127.0.0.1:8080";
    std::string readyAddress = "127.0.0.1:8081";
    std::string peerAddress = "127.0.0.1:8082";
    std::string metricsAddress = "127.0.0.1:8083";
    std::string storeAddress = "127.0.0.1:8070";
    std::string adviceAddress{};
    std::string processorShare = "1"; ///< Part of a core that the host gives, as a decimal number.
    LogLevel logLevel = LogLevel::Info;
    Milliseconds configFreshness{1'700}; ///< Older views of the configuration decide nothing.
    Milliseconds followerReadPause{180}; ///< Pause of a follower between two reads of the journal.
    Milliseconds ownerGather{35}; ///< Pause of the owner between two reads of the journal.
    Milliseconds journalWait{500}; ///< How long a read of the journal may wait for a record.
    Milliseconds beatInterval{300}; ///< The owner writes at least this often.
    Milliseconds ownerTimeout{1'300}; ///< A journal in which the owner wrote nothing for so long has none.
    Milliseconds claimStagger{60}; ///< Between the claims of two daemons that see it at once.
    Milliseconds isolationLimit{3'000}; ///< An owner that cannot write renews and starts nothing after this time.
    Milliseconds lease{5'500}; ///< Length of the leases of workers.
    Milliseconds holdWait{500}; ///< How long a worker may wait for an end before it answers.
    Milliseconds orderTimeout{200}; ///< For a start or a stop to be answered.
    Milliseconds appendGather{20}; ///< Pause between two batches of a writer.
    Milliseconds admissionPatience{400}; ///< How long a request waits for a store that takes nothing.
    Milliseconds answerPatience{2'000}; ///< How long a request waits for a store that does not answer.
    Milliseconds drainTime{3'000}; ///< How long a shutdown still takes new connections.
    Milliseconds jobRetention{600'000}; ///< How long jobs that have ended are kept.
};

/** Processor of the host in thousandths of a core; zero when the setting is no number. */
std::uint32_t processorMilli(const EntrySettings &settings);

} // namespace flamingotally::dispatch
