#include "daemon/urlencoding.h"

#include <memory>

#include <curl/curl.h>

namespace Daemon {

std::string percentEncoded(std::string_view text)
{
    if (text.empty())
        return {};
    const std::unique_ptr<char, decltype(&curl_free)> encoded(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    return encoded ? encoded.get() : "";
}

} // namespace Daemon
