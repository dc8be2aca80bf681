/** @file settings_file.h Reads the settings file at the start of a daemon, and waits for one that is not whole yet. */
#pragma once

#include "net/start_log.h"
#include "net/start_retry.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace flamingotally
{

/** Returns the state of a file. @param content Its text, or the error of a try to read it. */
SettingsFileState settingsFileState(const absl::StatusOr<std::string> &content);

/**
 * Decides how long to wait for a settings file. One that is unreadable is tried again for 5 s. One that may still be
 * being written is read again until it has not changed for 500 ms, for 5 s at most: no error of a file is final while
 * the file changes.
 */
class SettingsFileWait
{
public:
    /** @param seed Seed of the jitter. */
    explicit SettingsFileWait(std::uint64_t seed);

    /** Judges a try. Returns the pause before the next one, or nullopt if this one is final. */
    std::optional<Milliseconds> pauseAfter(const absl::StatusOr<std::string> &content, MonotonicTime now);

    const StartRetry &retry() const
    {
        return m_retry;
    }

private:
    StartRetry m_retry;
    std::string m_text; ///< Of the last try.
    std::optional<MonotonicTime> m_unchangedSince;
};

/**
 * Reads the settings file of a daemon that starts, and waits as SettingsFileWait says. Blocks the thread; signals have
 * their default effect meanwhile.
 * @return The text, or the error of the last try; an empty file is an error.
 */
absl::StatusOr<std::string> awaitSettingsFile(const std::string &path, const StartLog &log);

} // namespace flamingotally
