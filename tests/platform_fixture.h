/** @file platform_fixture.h What the end-to-end tests of the platform adapter share. */
#pragma once

#include "entry_daemon.h"
#include "platform_standin.h"

#include <fmt/format.h>

namespace flamingotally
{

/** A configuration with one queue, whose steps need tickets, one pool and one team. */
inline constexpr const char *configText = R"({"version":3,"routes":[
    {"name":"r","host":"queue.example","pathPrefix":"/q/","service":"pool","priority":0,"maxAttempts":2,"stretch":2.0,
     "targetLatencyMs":100,"advice":{"decideMs":1.0,"eachMs":0.1,"validMs":2000},"public":false}],
    "services":[{"name":"pool","rejectsOverload":false}],
    "tenants":[{"name":"red","apiKeys":["red key"],"weight":2,"upperLimit":{"cpu":0,"memMb":0,"gpu":0}}]})";

/**
 * Returns a loopback address with a port that is free now. Another connection of the tests may take the port before a
 * daemon binds it.
 */
inline std::string freeAddress(boost::asio::io_context &io)
{
    boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

/** Returns the settings of a daemon that connects to the stand-in. */
inline dispatch::EntrySettings
entrySettings(boost::asio::io_context &io, const standin::PlatformStandin &standin, const std::string &name)
{
    dispatch::EntrySettings settings;
    settings.name = name;
    settings.frontAddress = freeAddress(io);
    settings.readyAddress = freeAddress(io);
    settings.peerAddress = freeAddress(io);
    settings.metricsAddress = freeAddress(io);
    settings.storeAddress = standin.storeAddress();
    settings.adviceAddress = standin.adviceAddress();
    settings.logLevel = LogLevel::Error;
    settings.addressTimeout = Milliseconds{0};
    return settings;
}

} // namespace flamingotally
