#include "dispatch/codec/journal_codec.h"

#include "codec/cereal_func.h"
#include "core/enum_table.h"
#include "dispatch/codec/progress_columns.h"

#include <fmt/format.h>

namespace flamingotally
{

using namespace dispatch;

namespace
{

/** A kind of record and the first letter of its keys. */
struct JournalKindRow {
    JournalKind value;
    std::string_view name; ///< The letter.
};

constexpr EnumTable<JournalKind, JournalKindRow> journalKindTable{{
    {JournalKind::Accepted, "a"},
    {JournalKind::Cancelled, "c"},
    {JournalKind::Progress, "p"},
    {JournalKind::Claim, "o"},
    {JournalKind::Daemon, "d"},
    {JournalKind::Beat, "b"},
    {JournalKind::Forgotten, "f"},
}};
static_assert(isComplete(journalKindTable));

std::string keyOf(JournalKind kind, JobId job)
{
    return fmt::format("{}{:016x}", nameOf(journalKindTable, kind), job);
}

std::string progressKey(JobId job, std::uint32_t occurrence)
{
    return fmt::format("{}.{}", keyOf(JournalKind::Progress, job), occurrence);
}

/** Key of each kind of record. */
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
        return std::string(nameOf(journalKindTable, JournalKind::Daemon)) + it.name;
    }

    std::string operator()(const BeatRecord & /*it*/) const
    {
        return std::string(nameOf(journalKindTable, JournalKind::Beat));
    }

    std::string operator()(const ForgottenRecord &it) const
    {
        return keyOf(JournalKind::Forgotten, it.job);
    }
};

std::vector<KeyedBytes> dropKeys(const ForgottenRecord &record)
{
    std::vector<KeyedBytes> rows{{keyOf(JournalKind::Accepted, record.job), {}},
                                 {keyOf(JournalKind::Cancelled, record.job), {}}};
    for (std::uint32_t n = 0; n < record.occurrences; ++n) {
        rows.push_back({progressKey(record.job, n), {}});
    }
    return rows;
}

/** Value of each kind of record. */
struct ValueWriter {
    std::string operator()(const ProgressRecord &it) const
    {
        return encodeValue(columnsOf(it));
    }

    template<typename Record>
    std::string operator()(const Record &it) const
    {
        return encodeValue(it);
    }
};

absl::StatusOr<JournalRecord> decodeProgress(std::string_view value)
{
    const auto columns = decodeValue<ProgressColumns>(value, Step::ReadLog);
    if (!columns.ok()) {
        return columns.status();
    }
    auto record = recordOf(*columns);
    if (!record.ok()) {
        return record.status();
    }
    return JournalRecord(*std::move(record));
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

} // namespace

std::vector<KeyedBytes> encodeJournalRecord(const JournalRecord &record)
{
    if (const auto *forgotten = std::get_if<ForgottenRecord>(&record)) {
        return dropKeys(*forgotten);
    }
    return {{std::visit(KeyWriter{}, record), std::visit(ValueWriter{}, record)}};
}

absl::StatusOr<JournalRecord> decodeJournalRecord(std::string_view key, std::string_view value)
{
    const auto kind = valueFromName(journalKindTable, key.substr(0, 1));
    switch (kind.value_or(JournalKind::End)) {
    case JournalKind::Accepted:
        return decodeAs<AcceptedRecord>(value);
    case JournalKind::Cancelled:
        return decodeAs<CancelledRecord>(value);
    case JournalKind::Progress:
        return decodeProgress(value);
    case JournalKind::Claim:
        return decodeAs<ClaimRecord>(value);
    case JournalKind::Daemon:
        return decodeAs<DaemonRecord>(value);
    case JournalKind::Beat:
        return decodeAs<BeatRecord>(value);
    default:
        return makeError(absl::StatusCode::kUnimplemented, Step::ReadLog, "", "unknown kind of record");
    }
}

std::string encodeQuestion(const AdviceQuestion &question)
{
    return encodeValue(question);
}

absl::StatusOr<AdviceQuestion> decodeQuestion(std::string_view bytes)
{
    return decodeValue<AdviceQuestion>(bytes, Step::Place);
}

std::string encodeAnswer(const AdviceAnswer &answer)
{
    return encodeValue(answer);
}

absl::StatusOr<AdviceAnswer> decodeAnswer(std::string_view bytes)
{
    return decodeValue<AdviceAnswer>(bytes, Step::Place);
}

} // namespace flamingotally
