#include "net/server_start.h"

#include <boost/asio/io_context.hpp>

#include <random>
#include <utility>

namespace flamingotally
{

ServerStart::ServerStart(boost::asio::io_context &io, std::string daemon, Milliseconds limit)
    : m_log(std::move(daemon)), m_retry(limit, std::random_device()()), m_timer(io)
{
}

void ServerStart::start(std::function<void(const absl::Status &)> notify)
{
    m_notify = std::move(notify);
    tryOnce();
}

void ServerStart::cancel()
{
    m_notify = nullptr;
    m_timer.cancel();
}

/** Takes the addresses that are not taken yet; returns the first error. */
absl::Status ServerStart::bindPending()
{
    for (auto &row : m_rows) {
        if (row.isBound) {
            continue;
        }
        if (auto status = row.bind(row.address); !status.ok()) {
            return status;
        }
        row.isBound = true;
    }
    return absl::OkStatus();
}

void ServerStart::tryOnce()
{
    const auto status = bindPending();
    if (status.ok() || startFailureOf(status) != StartFailure::AddressTaken) {
        finish(status);
        return;
    }
    const auto pause = m_retry.pauseAfterFailure(m_clock.now());
    if (!pause) {
        finish(status);
        return;
    }
    if (peerOf(m_lastError) != peerOf(status)) {
        m_log.waits(status, m_retry.limit());
        m_lastError = status;
    }
    retryAfter(*pause);
}

void ServerStart::retryAfter(Milliseconds pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec && m_notify) {
            tryOnce();
        }
    });
}

void ServerStart::finish(const absl::Status &status)
{
    if (status.ok()) {
        if (m_retry.hasFailed()) {
            m_log.resumed(m_lastError, m_retry.waited(m_clock.now()));
        }
        for (const auto &row : m_rows) {
            row.accept();
        }
    }
    std::exchange(m_notify, nullptr)(status);
}

} // namespace flamingotally
