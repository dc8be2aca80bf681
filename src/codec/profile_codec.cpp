#include "codec/request_codec.h"
#include "codec/toml_field.h"
#include "table/profile_field_table.h"

namespace flamingotally
{

absl::StatusOr<ProfileSpec> parseProfileToml(std::string_view text, const std::string &file)
{
    const auto table = parseToml(text, file);
    if (!table.ok()) {
        return table.status();
    }
    ProfileSpec spec;
    for (const auto &[key, node] : *table) {
        if (auto status = readTomlField(profileFieldTable, spec, key.str(), node, file); !status.ok()) {
            return status;
        }
    }
    return spec;
}

std::string printProfile(const ProfileSpec &spec)
{
    std::string text;
    for (const auto &row : profileFieldTable) {
        text += fmt::format("{} = {}\n", row.name, toToml(fieldValueOf(spec, row)));
    }
    return text;
}

} // namespace flamingotally
