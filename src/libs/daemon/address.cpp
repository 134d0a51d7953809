#include "daemon/address.h"

#include <charconv>

#include <arpa/inet.h>

namespace Daemon {

Base::Result<sockaddr_in> parseAddress(const std::string &text)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    const char *const begin = text.data() + (colon == std::string::npos ? 0 : colon + 1);
    const char *const end = text.data() + text.size();
    const auto [parsed, ec] = std::from_chars(begin, end, port);
    const bool isPort = colon != std::string::npos && ec == std::errc() && parsed == end;
    if (!isPort || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
        return boost::leaf::new_error(MalformedAddress{text});
    address.sin_port = htons(port);
    return address;
}

} // namespace Daemon
