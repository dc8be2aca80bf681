#include "net/settings_file.h"

#include "codec/settings_field.h"
#include "net/clock.h"
#include "table/start_table.h"

#include <random>
#include <thread>

namespace flamingotally
{

namespace
{

constexpr Milliseconds waitLimit{5'000};
constexpr Milliseconds settleTime{500};
constexpr std::string_view blanks = " \t\r\n";

/** Describes a file that may not be whole yet, for the log. */
absl::Status notWholeError(SettingsFileState state, const std::string &path)
{
    const auto text = rowOf(settingsFileStateTable, state).text;
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, path, text);
}

} // namespace

SettingsFileState settingsFileState(const absl::StatusOr<std::string> &content)
{
    if (!content.ok()) {
        return SettingsFileState::Unreadable;
    }
    if (content->find_first_not_of(blanks) == std::string::npos) {
        return SettingsFileState::Empty;
    }
    if (!parseToml(*content, {}).ok()) {
        return SettingsFileState::Malformed;
    }
    return content->back() == '\n' ? SettingsFileState::Whole : SettingsFileState::NotEnded;
}

SettingsFileWait::SettingsFileWait(std::uint64_t seed) : m_retry(waitLimit, seed)
{
}

std::optional<Milliseconds> SettingsFileWait::pauseAfter(const absl::StatusOr<std::string> &content, MonotonicTime now)
{
    const auto state = settingsFileState(content);
    if (state == SettingsFileState::Whole) {
        return std::nullopt;
    }
    if (state == SettingsFileState::Unreadable) {
        m_unchangedSince.reset();
    } else if (!m_unchangedSince || m_text != *content) {
        m_unchangedSince = now;
        m_text = *content;
    } else if (now - *m_unchangedSince >= settleTime) {
        return std::nullopt;
    }
    return m_retry.pauseAfterFailure(now);
}

absl::StatusOr<std::string> awaitSettingsFile(const std::string &path, const StartLog &log)
{
    const SystemClock clock;
    SettingsFileWait wait(std::random_device{}());
    absl::Status firstError;
    while (true) {
        auto content = readTextFile(path);
        const auto state = settingsFileState(content);
        const auto pause = wait.pauseAfter(content, clock.now());
        if (pause) {
            if (firstError.ok()) {
                firstError = content.ok() ? notWholeError(state, path) : content.status();
                log.waits(firstError, wait.retry().limit());
            }
            std::this_thread::sleep_for(*pause);
            continue;
        }
        if (state == SettingsFileState::Empty) {
            return notWholeError(state, path);
        }
        if (content.ok() && wait.retry().hasFailed()) {
            log.resumed(firstError, wait.retry().waited(clock.now()));
        }
        return content;
    }
}

} // namespace flamingotally
