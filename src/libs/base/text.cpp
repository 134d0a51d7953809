#include "base/text.h"

#include <boost/locale/utf.hpp>

#include <algorithm>

namespace Base {

bool isUtf8(std::string_view text)
{
    namespace Utf = boost::locale::utf;
    for (const char *it = text.data(), *end = it + text.size(); it != end;) {
        if (!Utf::is_valid_codepoint(Utf::utf_traits<char>::decode(it, end)))
            return false;
    }
    return true;
}

bool isPlainName(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7F;
    const bool isPrintable = std::ranges::none_of(
        text, [](unsigned char c) { return c < firstPrintable || c == deleteCharacter; });
    return text.size() <= maxNameBytes && isPrintable && isUtf8(text);
}

} // namespace Base
