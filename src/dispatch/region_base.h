/** @file region_base.h How a daemon reads the journal in a cell with several regions. */
#pragma once

#include "dispatch/journal_type.h"

#include <map>
#include <optional>
#include <string>

namespace flamingotally::dispatch
{

/** Why a daemon reads the journal from its source. */
enum class SourceCause : std::uint8_t {
    OneRegion, ///< The settings name one region or none.
    Deciding, ///< This daemon owns or claims the cell.
    Near, ///< The store is near.
    ReaderAvoided, ///< The region's reader has just failed or had an old view.
    OwnerSilent, ///< The owner has stopped or is silent, so a claim may be due.
    LoadOverdue, ///< The region's reader did not deliver a snapshot in time.
    IsReader, ///< This daemon is the region's reader.
    NoReader, ///< No other daemon of the region can be its reader.
    Far, ///< The store is far, and the region has a reader.
    End,
};

/** Source of the next read of the journal, and why. */
struct SourceChoice {
    JournalSource source = JournalSource::Store;
    SourceCause cause = SourceCause::OneRegion;
    std::string reader; ///< Name of the region's reader, if that is the source.
    std::string address; ///< "IP:port" of the region's reader, if that is the source.
};

/** Stage of the first load of the journal in a cell with several regions. */
enum class LoadStage : std::uint8_t {
    Daemons, ///< The records of daemons are read.
    Measure, ///< A short read measures the distance of the store.
    Records, ///< All records are loaded, from the store or from the region's reader.
    End,
};

/** How this daemon reads the journal in a cell with several regions. */
struct RegionView {
    LoadStage stage = LoadStage::Daemons;
    std::optional<Milliseconds> fastestRead; ///< Smallest response time of a read of the store.
    MonotonicTime loadingSince{}; ///< When the load of all records began.
    MonotonicTime unansweredSince{}; ///< While loading: since when the reader has sent no response; zero if it has.
    MonotonicTime avoidReaderUntil{}; ///< The journal is read from the store until this time.
    /** When readers failed to respond, by name; each is passed over until its record is read again. */
    std::map<std::string, MonotonicTime> failedReaders;
    SourceChoice sent; ///< Source of the newest read that was sent.
    JournalSource applied = JournalSource::Store; ///< Source of the view: of the newest read that reached the end.
    bool reachedEnd = false; ///< The newest read that was applied reached the end of the journal.
    MonotonicTime currentAt{}; ///< Records stored before this time were in a response of the reader, if it knew any.
};

} // namespace flamingotally::dispatch
