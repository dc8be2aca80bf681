#include "core/error.h"

#include "table/step_table.h"

#include <absl/strings/cord.h>

namespace flamingotally
{

namespace
{

constexpr std::string_view stepPayload = "flamingotally/step";
constexpr std::string_view peerPayload = "flamingotally/peer";

absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

absl::Status makeError(absl::StatusCode code, Step step, std::string_view peer, std::string_view message)
{
    absl::Status status(code, toAbsl(message));
    status.SetPayload(toAbsl(stepPayload), absl::Cord(toAbsl(rowOf(stepTable, step).name)));
    if (!peer.empty()) {
        status.SetPayload(toAbsl(peerPayload), absl::Cord(toAbsl(peer)));
    }
    return status;
}

Step stepOf(const absl::Status &status)
{
    if (const auto payload = status.GetPayload(toAbsl(stepPayload))) {
        return valueFromName(stepTable, std::string(*payload)).value_or(Step::End);
    }
    return Step::End;
}

std::string peerOf(const absl::Status &status)
{
    if (const auto payload = status.GetPayload(toAbsl(peerPayload))) {
        return std::string(*payload);
    }
    return {};
}

} // namespace flamingotally
