#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Settings {

/// An IPv4 address and a port. Host names are not supported, since processes connect by IP address.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const Address &) const = default;
};

/// Parses "IP:PORT" with a port from 1 to 65535. Returns nothing for any other text.
std::optional<Address> parseAddress(std::string_view text);
/// Parses the address of another process, to which packets can be sent. Returns nothing for the
/// unspecified address, for those of groups and broadcasts, and for reserved ones.
std::optional<Address> parseUnicastAddress(std::string_view text);
/// Returns "IP:PORT".
std::string toString(const Address &address);

} // namespace Settings
