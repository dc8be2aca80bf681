#include "codec/log_codec.h"

#include "codec/cereal_func.h"

namespace flamingotally
{

namespace
{

constexpr std::uint8_t logPageVersion = 1;
constexpr std::uint8_t recordRequestVersion = 1;

} // namespace

std::string encodeLogPage(const LogPage &page)
{
    return encodeValue(logPageVersion) + encodeValue(page);
}

absl::StatusOr<LogPage> decodeLogPage(std::string_view bytes)
{
    if (bytes.size() > maxLogPageBytes) {
        return makeError(absl::StatusCode::kInvalidArgument, Step::ReadLog, "", "encoded log page is too large");
    }
    return decodeVersioned<LogPage>(bytes, logPageVersion, Step::ReadLog);
}

std::string encodeRecordRequest(std::uint64_t from)
{
    return encodeValue(recordRequestVersion) + encodeValue(from);
}

std::optional<std::uint64_t> decodeRecordRequest(std::string_view bytes)
{
    const auto from = decodeVersioned<std::uint64_t>(bytes, recordRequestVersion, Step::FetchRecords);
    return from.ok() ? std::optional(*from) : std::nullopt;
}

} // namespace flamingotally
