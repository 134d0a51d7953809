#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Settings {

/// An IPv4 address and a port. Host names are no addresses: processes meet by IP numbers.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const Address &) const = default;
};

/// Reads "IP:PORT" with a port from 1 to 65535; empty for any other text.
std::optional<Address> parseAddress(std::string_view text);
std::string toString(const Address &address);

} // namespace Settings
