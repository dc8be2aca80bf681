#include "dispatch/codec/journal_codec.h"

#include "codec/cereal_func.h"
#include "codec/compression.h"
#include "core/enum_table.h"
#include "dispatch/codec/progress_columns.h"

#include <fmt/format.h>

namespace flamingotally
{

using namespace dispatch;

namespace
{

/** A kind of record with its letter. */
struct JournalKindRow {
    JournalKind value;
    std::string_view name; ///< First letter of the keys of such records.
};

constexpr EnumTable<JournalKind, JournalKindRow> journalKindTable{{
    {JournalKind::Accepted, "a"},
    {JournalKind::Cancelled, "c"},
    {JournalKind::Progress, "p"},
    {JournalKind::Claim, "o"},
    {JournalKind::Daemon, "d"},
    {JournalKind::Heartbeat, "b"},
    {JournalKind::Removed, "f"},
    {JournalKind::RemovedDaemon, "g"},
    {JournalKind::PoolLoad, "l"},
    {JournalKind::TeamUse, "u"},
}};
static_assert(isComplete(journalKindTable));

/** Returns the key of a record about a job: the letter of its kind and the job id in 16 hexadecimal digits. */
std::string keyOf(JournalKind kind, JobId job)
{
    return fmt::format("{}{:016x}", nameOf(journalKindTable, kind), job);
}

/** Returns the key of the progress record of an occurrence. */
std::string progressKey(JobId job, std::uint32_t occurrence)
{
    return fmt::format("{}.{}", keyOf(JournalKind::Progress, job), occurrence);
}

/** Returns the key of a daemon's record. */
std::string daemonKey(const std::string &name)
{
    return std::string(nameOf(journalKindTable, JournalKind::Daemon)) + name;
}

/** Returns the key of a record. */
struct KeyWriter {
    std::string operator()(const AcceptedRecord &it) const
    {
        return keyOf(JournalKind::Accepted, it.job);
    }

    std::string operator()(const CancelledRecord &it) const
    {
        return keyOf(JournalKind::Cancelled, it.job);
    }

    std::string operator()(const ProgressRecord &it) const
    {
        return progressKey(it.job, it.occurrence);
    }

    std::string operator()(const ClaimRecord & /*it*/) const
    {
        return std::string(nameOf(journalKindTable, JournalKind::Claim));
    }

    std::string operator()(const DaemonRecord &it) const
    {
        return daemonKey(it.name);
    }

    std::string operator()(const HeartbeatRecord & /*it*/) const
    {
        return std::string(nameOf(journalKindTable, JournalKind::Heartbeat));
    }

    std::string operator()(const RemovedRecord &it) const
    {
        return keyOf(JournalKind::Removed, it.job);
    }

    std::string operator()(const RemovedDaemonRecord &it) const
    {
        return daemonKey(it.name);
    }

    std::string operator()(const PoolLoadRecord & /*it*/) const
    {
        return std::string(nameOf(journalKindTable, JournalKind::PoolLoad));
    }

    std::string operator()(const TeamUseRecord & /*it*/) const
    {
        return std::string(nameOf(journalKindTable, JournalKind::TeamUse));
    }
};

/** Returns rows with empty values for the keys that a record removes. */
std::vector<KeyedBytes> removalRows(const RemovedRecord &record)
{
    std::vector<KeyedBytes> rows;
    if (!record.keepsJob) {
        rows.push_back({keyOf(JournalKind::Accepted, record.job), {}});
        rows.push_back({keyOf(JournalKind::Cancelled, record.job), {}});
    }
    for (std::uint32_t n = 0; n < record.occurrences; ++n) {
        rows.push_back({progressKey(record.job, record.first + n), {}});
    }
    return rows;
}

constexpr std::string_view frameStart("\x28\xb5\x2f\xfd"); ///< The first bytes of every zstd frame.
constexpr std::size_t minCompressedBytes = 256; ///< Progress that takes less is stored as it is.
constexpr std::size_t maxProgressBytes = 1024 * 1024; ///< Of one record before compression.
/** An accepted job that takes more is compressed, as a step takes more bytes here than in its caller's request. */
constexpr std::size_t minCompressedJobBytes = 32 * 1024;
constexpr std::size_t maxJobBytes = 4 * 1024 * 1024; ///< Of one accepted job before compression.

/** Returns the compressed bytes, or the bytes themselves if they are shorter than a size. */
std::string compressFrom(std::size_t minBytes, std::string plain)
{
    if (plain.size() < minBytes) {
        return plain;
    }
    auto frame = compressBytes(plain);
    return frame.empty() ? std::move(plain) : std::move(frame);
}

/** Returns the encoded value of a record. */
struct ValueWriter {
    /** Long progress is compressed, as all daemons read it. Other values never begin like a frame. */
    std::string operator()(const ProgressRecord &it) const
    {
        auto crashed = crashedRowsOf(it);
        auto plain = crashed.empty() ? encodeValue(columnsOf(it))
                                     : encodeValue(CrashedProgressColumns{columnsOf(it), std::move(crashed)});
        return compressFrom(minCompressedBytes, std::move(plain));
    }

    std::string operator()(const AcceptedRecord &it) const
    {
        return compressFrom(minCompressedJobBytes, encodeValue(it));
    }

    template<typename Record>
    std::string operator()(const Record &it) const
    {
        return encodeValue(it);
    }
};

/** Decodes columns of one of the types in which progress is stored, and rebuilds the record. */
template<typename Columns>
absl::StatusOr<JournalRecord> decodeColumns(std::string_view value)
{
    const auto columns = decodeValue<Columns>(value, Step::ReadLog);
    if (!columns.ok()) {
        return columns.status();
    }
    auto record = recordOf(*columns);
    if (!record.ok()) {
        return record.status();
    }
    return JournalRecord(*std::move(record));
}

absl::StatusOr<JournalRecord> decodePlainProgress(std::string_view value)
{
    auto record = decodeColumns<ProgressColumns>(value);
    return record.ok() ? std::move(record) : decodeColumns<CrashedProgressColumns>(value);
}

absl::StatusOr<JournalRecord> decodeProgress(std::string_view value)
{
    if (!value.starts_with(frameStart)) {
        return decodePlainProgress(value);
    }
    const auto plain = decompressBytes(value, maxProgressBytes);
    return plain.ok() ? decodePlainProgress(*plain) : plain.status();
}

template<typename Record>
absl::StatusOr<JournalRecord> decodeAs(std::string_view value)
{
    auto record = decodeValue<Record>(value, Step::ReadLog);
    if (!record.ok()) {
        return record.status();
    }
    return JournalRecord(*std::move(record));
}

absl::StatusOr<JournalRecord> decodeAccepted(std::string_view value)
{
    if (!value.starts_with(frameStart)) {
        return decodeAs<AcceptedRecord>(value);
    }
    const auto plain = decompressBytes(value, maxJobBytes);
    return plain.ok() ? decodeAs<AcceptedRecord>(*plain) : plain.status();
}

/** Decodes past use. A malformed record must replace the one before it, so it is passed on, marked as such. */
JournalRecord decodeTeamUse(std::string_view value)
{
    auto record = decodeValue<TeamUseRecord>(value, Step::ReadLog);
    if (record.ok()) {
        return *std::move(record);
    }
    TeamUseRecord malformed;
    malformed.isMalformed = true;
    return malformed;
}

} // namespace

std::vector<KeyedBytes> encodeJournalRecord(const JournalRecord &record)
{
    if (const auto *removed = std::get_if<RemovedRecord>(&record)) {
        return removalRows(*removed);
    }
    if (const auto *removed = std::get_if<RemovedDaemonRecord>(&record)) {
        return {{daemonKey(removed->name), {}}};
    }
    return {{std::visit(KeyWriter{}, record), std::visit(ValueWriter{}, record)}};
}

absl::StatusOr<JournalRecord> decodeJournalRecord(std::string_view key, std::string_view value)
{
    const auto kind = valueFromName(journalKindTable, key.substr(0, 1));
    switch (kind.value_or(JournalKind::End)) {
    case JournalKind::Accepted:
        return decodeAccepted(value);
    case JournalKind::Cancelled:
        return decodeAs<CancelledRecord>(value);
    case JournalKind::Progress:
        return decodeProgress(value);
    case JournalKind::Claim:
        return decodeAs<ClaimRecord>(value);
    case JournalKind::Daemon:
        return decodeAs<DaemonRecord>(value);
    case JournalKind::Heartbeat:
        return decodeAs<HeartbeatRecord>(value);
    case JournalKind::PoolLoad:
        return decodeAs<PoolLoadRecord>(value);
    case JournalKind::TeamUse:
        return decodeTeamUse(value);
    default:
        return makeError(absl::StatusCode::kUnimplemented, Step::ReadLog, "", "unknown kind of record");
    }
}

std::string encodeAdviceRequest(const AdviceRequest &request)
{
    return encodeValue(request);
}

absl::StatusOr<AdviceRequest> decodeAdviceRequest(std::string_view bytes)
{
    return decodeValue<AdviceRequest>(bytes, Step::Place);
}

std::string encodeAdviceResponse(const AdviceResponse &response)
{
    return encodeValue(response);
}

absl::StatusOr<AdviceResponse> decodeAdviceResponse(std::string_view bytes)
{
    return decodeValue<AdviceResponse>(bytes, Step::Place);
}

} // namespace flamingotally
