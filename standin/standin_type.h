/** @file standin_type.h Requests to the stand-in, their responses, and the faults that the stand-in can simulate. */
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
    Refusing, ///< The log refuses every request.
    Silent, ///< The log sends no responses, and closes each connection after some time.
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
    Leaving, ///< The host list marks the host as leaving; the host still works.
    Gone, ///< The host sends no responses and is not on the host list.
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
    Milliseconds readLatency{0}; ///< Minimum time from the arrival of a read to its response.
    std::uint32_t loseAppendAnswers = 0; ///< Number of next appends that are stored, but get no response.
    bool isHostListDown = false; ///< Requests for the host list are refused.
};

/** Faults of one host. */
struct HostFaults {
    HostState state = HostState::Live;
    bool failsAll = false; ///< Every task on the host fails.
    bool isPaused = false; ///< The host and its tasks are frozen; leases still expire.
};

/** A change of faults. */
struct FaultRequest {
    PlatformFaults platform; ///< New values of all platform faults.
    std::string host; ///< Name of the host to change; empty for none.
    HostFaults hostFaults; ///< New values of all faults of the host.
    bool shouldReboot = false; ///< The host reboots and loses all its state.
};

struct AppendRequest {
    std::string bytes;
};

struct ReadRequest {
    std::uint64_t from = 0; ///< Offset of the first record to return.
    Milliseconds wait{0}; ///< Maximum time to wait for the record at `from` if it has not been appended yet.
    std::size_t maxBytes = 0; ///< No further record is added once the response has reached this size.
};

/** Asks for the host list. */
struct HostsRequest {
};

struct SyncRequest {
    std::size_t worker = 0; ///< Index of the worker.
    WorkerSync sync;
};

/** Asks a worker for the result of an attempt. */
struct ResultRequest {
    std::size_t worker = 0; ///< Index of the worker.
    AttemptNumber attempt = 0;
};

/** Asks for the journal. */
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

/** The request was refused and not carried out. */
struct Refusal {
    unsigned httpStatus = 503;
    std::string text;
};

/** The connection is closed without a response. */
struct NoResponse {
};

struct ResultBytes {
    std::string bytes;
};

/** Entry of the journal: an attempt that a worker started. */
struct Run {
    std::string worker;
    StartOrder order;
    MonotonicTime startedAt{};
    MonotonicTime endedAt{}; ///< Zero while the attempt runs.
    Outcome outcome = Outcome::None;
};

/** The complete journal, which the codec encodes from the tables. */
struct JournalResponse {
};

/** The faults were changed. The codec adds all current faults from the tables. */
struct FaultsChanged {
};

using ResponseBody = std::variant<AppendStored,
                                  Refusal,
                                  NoResponse,
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
