/** @file commit_type.h Messages and state of batches that daemons send to the store through the owner of the cell. */
#pragma once

#include "core/enum_table.h"
#include "dispatch/message_type.h"

#include <string>
#include <vector>

namespace flamingotally::dispatch
{

/** Way of a batch of the entry writer to the store. */
enum class CommitRoute : std::uint8_t {
    Store, ///< The daemon appends the batch itself.
    Owner, ///< The owner of the cell adds the records to its own next batch.
    End,
};

constexpr EnumTable<CommitRoute> commitRouteTable{{
    {CommitRoute::Store, "store"},
    {CommitRoute::Owner, "owner"},
}};
static_assert(isComplete(commitRouteTable));

/** Outcome of a call to the owner. */
enum class CommitOutcome : std::uint8_t {
    Stored,
    Refused, ///< The records are and will be in no batch: the daemon is not the owner that the caller means.
    Busy, ///< The same: too many records of other daemons wait.
    Waiting, ///< Answer to a call without records: the owner reads the store, and waits for its append if it has one.
    Unknown, ///< No response, or the records were in a batch whose outcome is not known.
    NeverSent, ///< The call did not leave this host.
    End,
};

constexpr EnumTable<CommitOutcome> commitOutcomeTable{{
    {CommitOutcome::Stored, "stored"},
    {CommitOutcome::Refused, "refused"},
    {CommitOutcome::Busy, "busy"},
    {CommitOutcome::Waiting, "waiting"},
    {CommitOutcome::Unknown, "unknown"},
    {CommitOutcome::NeverSent, "never_sent"},
}};
static_assert(isComplete(commitOutcomeTable));

/** Call to the owner that asks it to store records. Without records it asks whether the owner waits for the store. */
struct CommitRequest {
    std::uint64_t number = 0; ///< Identifies the response.
    std::string address; ///< "IP:port" of the owner.
    Token token = 0; ///< Fencing token of the owner that is meant.
    std::vector<JournalRecord> records;
    Milliseconds timeout{0}; ///< How long to wait for the response.
};

/** Response to a CommitRequest. */
struct CommitResponse {
    std::uint64_t number = 0; ///< Number of the request.
    CommitOutcome outcome = CommitOutcome::Unknown;
    bool isStoreSlow = false; ///< The owner's last append was slow.
};

/** A CommitRequest of another daemon, as the owner receives it. */
struct CommitCall {
    CallHandle handle = 0;
    Token token = 0; ///< Fencing token of the owner that is meant.
    std::vector<JournalRecord> records;
};

/** The owner's answer to a CommitCall. */
struct CommitAnswer {
    CallHandle handle = 0;
    CommitOutcome outcome = CommitOutcome::Unknown;
    bool isStoreSlow = false; ///< This owner's last append was slow.
};

/** Records of another daemon that the owner has queued for its writer. */
struct PendingCommit {
    CallHandle handle = 0;
    std::uint64_t batch = 0; ///< Number of the batch of the owner's writer that contains the records.
    std::size_t bytes = 0; ///< Estimated size of the records.
};

/** State of a daemon's calls to the owner, and as owner of the calls of others. */
struct CommitState {
    std::vector<PendingCommit> pending; ///< While owner: calls that are answered once their records are stored.
    std::uint64_t nextNumber = 1; ///< Number of the next request.
    std::uint64_t batchNumber = 0; ///< Request that contains the batch in flight; zero for none.
    Token batchToken = 0; ///< Token of the owner to which that request was sent.
    Token avoidedToken = 0; ///< Owner that did not respond or refused.
    MonotonicTime avoidUntil{}; ///< No batch is sent to that owner before this time.
    std::uint64_t checkNumber = 0; ///< Newest request without records.
    MonotonicTime checkedAt{}; ///< When that request was sent.
    Token waitingToken = 0; ///< Owner to which that request was sent.
    MonotonicTime waitingAt{}; ///< When it answered CommitOutcome::Waiting; zero if its newest answer was another one.
};

} // namespace flamingotally::dispatch
