/** @file main.cpp Program that stands in for the platform: log, host list and workers on loopback. */
#include "core/error.h"
#include "net/clock.h"
#include "net/http_server.h"
#include "net/tick_loop.h"
#include "options.h"
#include "standin_front.h"
#include "standin_systems.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>

using namespace flamingotally;
using namespace flamingotally::standin;

namespace
{

/** The stand-in with its servers and event loop. */
class Program
{
public:
    explicit Program(const Options &options)
        : m_loop(m_io, [this] { return runTick(); }), m_front(m_standin, [this] { m_loop.wake(); }),
          m_platform(m_io, serverSettings(), [this](HttpRequest request, const HttpResponder &responder) {
              m_front.handlePlatform(std::move(request), responder);
          })
    {
        m_standin.settings = options.settings;
        m_standin.faults = options.faults;
        addHosts(options);
    }

    absl::Status listen(const Options &options)
    {
        if (auto status = m_platform.listen(options.address); !status.ok()) {
            return status;
        }
        for (std::size_t n = 0; n < m_standin.workers.size(); ++n) {
            if (auto status = listenWorker(n); !status.ok()) {
                return status;
            }
        }
        return absl::OkStatus();
    }

    void run()
    {
        boost::asio::signal_set signals(m_io, SIGINT, SIGTERM);
        signals.async_wait([this](const boost::system::error_code &, int) { m_io.stop(); });
        m_loop.wake();
        m_io.run();
    }

private:
    static HttpServerSettings serverSettings()
    {
        constexpr std::size_t maxBodyBytes = 2 * 1024 * 1024;
        HttpServerSettings settings;
        settings.maxBodyBytes = maxBodyBytes;
        return settings;
    }

    StandinTime time() const
    {
        return {m_clock.now(), m_clock.wallNow()};
    }

    void addHosts(const Options &options)
    {
        for (const auto &it : options.entryHosts) {
            addHost(m_standin, it);
        }
        for (const auto &[row, total] : options.workers) {
            addWorker(m_standin, row, total, time());
        }
    }

    absl::Status listenWorker(std::size_t n)
    {
        auto handler = [this, n](HttpRequest request, const HttpResponder &responder) {
            m_front.handleWorker(n, std::move(request), responder);
        };
        m_workers.push_back(std::make_unique<HttpServer>(m_io, serverSettings(), std::move(handler)));
        return m_workers.back()->listen(m_standin.hosts.get<HostRow>(m_standin.workers[n]).address);
    }

    MonotonicTime runTick()
    {
        tick(m_standin, time());
        m_front.deliver();
        return m_standin.nextWake;
    }

    boost::asio::io_context m_io{1};
    SystemClock m_clock;
    Standin m_standin;
    TickLoop m_loop;
    StandinFront m_front;
    HttpServer m_platform;
    std::vector<std::unique_ptr<HttpServer>> m_workers;
};

} // namespace

int main(int argc, char **argv)
{
    const auto options = parseOptions(argc, argv);
    if (!options.ok()) {
        fmt::print(stderr, "flamingotally-standin: {}\n", std::string(options.status().message()));
        return EXIT_FAILURE;
    }
    if (options->showHelp) {
        fmt::print("{}", options->help);
        return EXIT_SUCCESS;
    }
    Program program(*options);
    if (const auto status = program.listen(*options); !status.ok()) {
        fmt::print(
            stderr, "flamingotally-standin: cannot listen: {}: {}\n", peerOf(status), std::string(status.message()));
        return EXIT_FAILURE;
    }
    program.run();
    return EXIT_SUCCESS;
}
