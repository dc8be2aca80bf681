#include "dispatch/codec/entry_settings_codec.h"

#include "codec/settings_field.h"
#include "dispatch/table/entry_settings_table.h"

namespace flamingotally
{

using namespace dispatch;

absl::Status EntrySettingsBuilder::addToml(std::string_view text, const std::string &file)
{
    return readSettingsToml(entrySettingsTable, m_settings, text, file);
}

absl::Status EntrySettingsBuilder::addOverride(const std::string &assignment)
{
    return readSetting(entrySettingsTable, m_settings, assignment);
}

absl::StatusOr<EntrySettings> EntrySettingsBuilder::build() const
{
    if (m_settings.heartbeatInterval * 2 > m_settings.ownerTimeout) {
        return settingsError("ownerTimeoutMs must be at least twice beatIntervalMs");
    }
    if (m_settings.pollWait * 2 > m_settings.lease) {
        return settingsError("leaseMs must be at least twice holdWaitMs");
    }
    if (processorMilli(m_settings) == 0) {
        return settingsError("processorShare must be a decimal number above 0.001");
    }
    return m_settings;
}

std::string printEntrySettings(const EntrySettings &settings)
{
    return writeSettings(entrySettingsTable, settings);
}

} // namespace flamingotally
