#include "codec/settings_codec.h"

#include "codec/settings_field.h"
#include "table/settings_table.h"

namespace flamingotally
{

absl::Status SettingsBuilder::addToml(std::string_view text, const std::string &file)
{
    return readSettingsToml(settingsTable, m_settings, text, file);
}

absl::Status SettingsBuilder::addOverride(const std::string &assignment)
{
    return readSetting(settingsTable, m_settings, assignment);
}

absl::StatusOr<Settings> SettingsBuilder::build() const
{
    if (m_settings.clusterSecret.empty()) {
        return settingsError("clusterSecret is missing");
    }
    if (m_settings.peerTimeout <= m_settings.heartbeatInterval) {
        return settingsError("peerTimeoutMs must be greater than heartbeatIntervalMs");
    }
    if (m_settings.fence <= m_settings.heartbeatInterval) {
        return settingsError("fenceMs must be greater than heartbeatIntervalMs");
    }
    return m_settings;
}

std::string printSettings(const Settings &settings)
{
    return writeSettings(settingsTable, settings);
}

} // namespace flamingotally
