/** @file standin_type.h Requests to the stand-in, its responses, and the faults that can be switched on. */
#pragma once

#include "codec/log_codec.h"
#include "core/enum_table.h"
#include "message_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingotally::standin
{

/** Number that links a response to its request. */
using Handle = std::uint64_t;

/** Kind of log outage. */
enum class LogOutage : std::uint8_t {
    None,
    Refusing, ///< Refuses every request.
    Silent, ///< Sends no response; closes the connection after some time.
    End,
};

constexpr EnumTable<LogOutage> logOutageTable{{
    {LogOutage::None, "none"},
    {LogOutage::Refusing, "refusing"},
    {LogOutage::Silent, "silent"},
}};
static_assert(isComplete(logOutageTable));

constexpr const auto &namesOf(LogOutage)
{
    return logOutageTable;
}

/** State of a host. */
enum class HostState : std::uint8_t {
    Live,
    Leaving, ///< Marked as leaving on the host list; still works.
    Gone, ///< Sends no responses and is not on the host list.
    End,
};

constexpr EnumTable<HostState> hostStateTable{{
    {HostState::Live, "live"},
    {HostState::Leaving, "leaving"},
    {HostState::Gone, "gone"},
}};
static_assert(isComplete(hostStateTable));

constexpr const auto &namesOf(HostState)
{
    return hostStateTable;
}

/** Faults of the log and the host list. */
struct PlatformFaults {
    LogOutage logOutage = LogOutage::None;
    Milliseconds appendLatency{10}; ///< Time from the arrival of an append until its record is stored.
    Milliseconds readLatency{0}; ///< Minimum time until a read is answered.
    std::uint32_t loseAppendAnswers = 0; ///< Number of upcoming appends that are stored without a response.
    bool hostListDown = false; ///< Requests for the host list are refused.
};

/** Faults of one host. */
struct HostFaults {
    HostState state = HostState::Live;
    bool failsAll = false; ///< Every task on the host fails.
    bool paused = false; ///< The host and its tasks are frozen; leases still expire.
};

/** A change of faults. */
struct FaultRequest {
    PlatformFaults platform; ///< New values of all platform faults.
    std::string host; ///< Name of the host to change; empty for none.
    HostFaults hostFaults; ///< New values of all faults of the host.
    bool reboot = false; ///< The host restarts and loses all its state.
};

struct AppendRequest {
    std::string bytes;
};

struct ReadRequest {
    std::uint64_t from = 0; ///< Offset of the first record to return.
    Milliseconds wait{0}; ///< Maximum wait for records when there are none.
    std::size_t maxBytes = 0; ///< No further record is added once the response has reached this size.
};

struct HostsRequest {
};

struct SyncRequest {
    std::size_t worker = 0; ///< Index of the worker.
    WorkerSync sync;
};

struct ResultRequest {
    std::size_t worker = 0; ///< Index of the worker.
    AttemptNumber attempt = 0;
};

struct JournalRequest {
};

using RequestBody =
    std::variant<AppendRequest, ReadRequest, HostsRequest, SyncRequest, ResultRequest, JournalRequest, FaultRequest>;

/** A decoded request. */
struct Request {
    Handle handle = 0;
    RequestBody body;
};

struct AppendStored {
    std::uint64_t offset = 0;
};

/** The request was not carried out. */
struct Refusal {
    unsigned httpStatus = 503;
    std::string text;
};

/** The connection is closed without a response. */
struct HangUp {
};

struct ResultBytes {
    std::string bytes;
};

/** Journal entry of one attempt on one worker. */
struct Run {
    std::string worker;
    StartOrder order;
    MonotonicTime startedAt{};
    MonotonicTime endedAt{}; ///< Zero while the attempt runs.
    Outcome outcome = Outcome::None;
};

struct JournalResponse {
};

struct FaultsChanged {
};

using ResponseBody = std::variant<AppendStored,
                                  Refusal,
                                  HangUp,
                                  LogPage,
                                  std::vector<HostRow>,
                                  WorkerReport,
                                  ResultBytes,
                                  JournalResponse,
                                  FaultsChanged>;

struct Response {
    Handle handle = 0;
    ResponseBody body;
};

} // namespace flamingotally::standin
