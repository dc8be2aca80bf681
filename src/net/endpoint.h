/** @file endpoint.h Converts addresses between text and Asio's endpoints. For the sources of net/ only. */
#pragma once

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace flamingotally
{

/**
 * Parses an address.
 * @param text "IP:port" or "[IPv6]:port"; host names are not resolved.
 * @return The endpoint, or nullopt if the text has another form.
 */
template<typename Endpoint>
std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    if (const auto [place, error] = std::from_chars(text.data() + colon + 1, end, port);
        error != std::errc{} || place != end) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(std::string(host), ec);
    if (ec) {
        return std::nullopt;
    }
    return Endpoint(address, port);
}

/** Formats an endpoint as text that parseEndpoint() accepts. */
template<typename Endpoint>
std::string endpointText(const Endpoint &endpoint)
{
    const auto host = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace flamingotally
