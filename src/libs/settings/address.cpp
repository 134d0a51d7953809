#include "settings/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace Settings {

std::optional<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string ip(text.substr(0, colon));
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char *end = portText.data() + portText.size();
    const auto [ptr, ec] = std::from_chars(portText.data(), end, port);
    if (ec != std::errc() || ptr != end || port == 0)
        return std::nullopt;
    in_addr parsed{};
    // inet_pton() stops at a zero byte and would accept any bytes after it.
    const bool isText = ip.find('\0') == std::string::npos;
    if (!isText || inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
        return std::nullopt;
    return Address{ip, port};
}

std::optional<Address> parseUnicastAddress(std::string_view text)
{
    // The first byte; 0 is "this network" (RFC 791), 224 and above are groups, reserved addresses
    // and the broadcast (RFC 1112).
    constexpr std::uint32_t firstOfGroups = 224;
    constexpr unsigned bitsAfterFirst = 24;
    std::optional<Address> address = parseAddress(text);
    in_addr parsed{};
    if (!address || inet_pton(AF_INET, address->ip.c_str(), &parsed) != 1)
        return std::nullopt;
    const std::uint32_t first = ntohl(parsed.s_addr) >> bitsAfterFirst;
    return first > 0 && first < firstOfGroups ? address : std::nullopt;
}

std::string toString(const Address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

} // namespace Settings
