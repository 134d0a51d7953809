#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>

#include <netinet/in.h>

namespace Daemon {

/// The text is not "IP:PORT" with an IPv4 address.
struct MalformedAddress
{
    std::string text;
};

/// Parses "IP:PORT". Fails with MalformedAddress.
Base::Result<sockaddr_in> parseAddress(const std::string &text);

} // namespace Daemon
