/** @file standin_type.h What the stand-in is asked, what it answers, and which faults can be switched on. */
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

/** Name by which an answer finds its request. */
using Handle = std::uint64_t;

/** How the log is down. */
enum class LogOutage : std::uint8_t {
    None,
    Refusing, ///< Says that it takes and gives nothing.
    Silent, ///< Gives no answer.
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

/** How far a worker's host is in its life. */
enum class HostState : std::uint8_t {
    Live,
    Leaving, ///< Marked so on the host list; still works.
    Gone, ///< Answers nothing and is off the list.
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
    Milliseconds appendLatency{10};
    Milliseconds readLatency{0};
    std::uint32_t loseAppendAnswers = 0; ///< So many of the next appends are stored without an answer.
    bool hostListDown = false;
};

/** Faults of one host. */
struct HostFaults {
    HostState state = HostState::Live;
    bool failsAll = false; ///< Fails everything it starts.
    bool paused = false; ///< The host stands still with its tasks; leases go on running out.
};

/** A change of faults. */
struct FaultRequest {
    PlatformFaults platform; ///< All of them, as they are to be.
    std::string host; ///< The host to change; empty for none.
    HostFaults hostFaults;
    bool reboot = false; ///< The host restarts and forgets everything.
};

struct AppendRequest {
    std::string bytes;
};

struct ReadRequest {
    std::uint64_t from = 0;
    Milliseconds wait{0};
    std::size_t maxBytes = 0;
};

struct HostsRequest {
};

struct SyncRequest {
    std::size_t worker = 0; ///< Place of the worker.
    WorkerSync sync;
};

struct ResultRequest {
    std::size_t worker = 0; ///< Place of the worker.
    AttemptNumber attempt = 0;
};

struct JournalRequest {
};

using RequestBody =
    std::variant<AppendRequest, ReadRequest, HostsRequest, SyncRequest, ResultRequest, JournalRequest, FaultRequest>;

/** A request as it arrived. */
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

/** The connection is closed without an answer. */
struct HangUp {
};

struct ResultBytes {
    std::string bytes;
};

/** What a worker did with one attempt. */
struct Run {
    std::string worker;
    StartOrder order;
    MonotonicTime startedAt{};
    MonotonicTime endedAt{}; ///< Zero while it runs.
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
