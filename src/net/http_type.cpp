#include "net/http_type.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace flamingotally
{

std::string_view fieldValue(const std::vector<HttpField> &fields, std::string_view name)
{
    const absl::string_view wanted(name.data(), name.size());
    const auto it = std::ranges::find_if(
        fields, [wanted](const HttpField &field) { return absl::EqualsIgnoreCase(field.name, wanted); });
    return it == fields.end() ? std::string_view{} : std::string_view(it->value);
}

} // namespace flamingotally
