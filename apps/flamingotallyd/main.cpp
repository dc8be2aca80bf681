/** @file main.cpp The entry daemon. Runs until SIGINT or SIGTERM, and then drains before it exits. */
#include "options.h"

#include "codec/settings_codec.h"
#include "net/daemon.h"
#include "net/start_log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>

namespace
{

using namespace flamingotally;

/**
 * Runs a daemon until SIGINT or SIGTERM has arrived and the daemon has drained.
 * @return The exit code of the process.
 */
int run(const Settings &settings)
{
    boost::asio::io_context io(1);
    const auto daemon = DaemonBuilder(settings).whenStopped([&io] { io.stop(); }).build(io);
    if (const auto status = daemon->start(); !status.ok()) {
        return StartLog(settings.name).failed(status);
    }
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &ec, int) {
        if (!ec) {
            daemon->drain();
        }
    });
    io.run();
    if (const auto status = daemon->outcome(); !status.ok()) {
        return StartLog(settings.name).failed(status);
    }
    return EXIT_SUCCESS;
}

int runMain(int argc, char **argv)
{
    const auto options = parseOptions(argc, argv);
    if (!options.ok()) {
        return StartLog().failed(options.status());
    }
    switch (options->mode) {
    case Mode::Help:
        fmt::print("{}", options->help);
        return EXIT_SUCCESS;
    case Mode::Version:
        fmt::print("flamingotallyd {}\n", programVersion);
        return EXIT_SUCCESS;
    case Mode::PrintConfig:
        fmt::print("{}", printSettings(options->settings));
        return EXIT_SUCCESS;
    case Mode::CheckConfig:
        fmt::print("settings are valid\n");
        return EXIT_SUCCESS;
    default:
        return run(options->settings);
    }
}

} // namespace

int main(int argc, char **argv)
{
    return runLogged([&] { return runMain(argc, argv); });
}
