#include "codec/log_codec.h"

#include "codec/cereal_func.h"

namespace flamingotally
{

namespace
{

constexpr std::uint8_t logPageVersion = 1;

} // namespace

std::string encodeLogPage(const LogPage &page)
{
    return encodeValue(logPageVersion) + encodeValue(page);
}

absl::StatusOr<LogPage> decodeLogPage(std::string_view bytes)
{
    if (bytes.size() > maxLogPageBytes) {
        return makeError(absl::StatusCode::kInvalidArgument, Step::ReadLog, "", "too large");
    }
    return decodeVersioned<LogPage>(bytes, logPageVersion, Step::ReadLog);
}

} // namespace flamingotally
