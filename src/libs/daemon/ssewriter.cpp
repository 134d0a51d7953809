#include "daemon/ssewriter.h"

namespace Daemon {

std::string sseEvent(std::string_view data)
{
    std::string text;
    text.reserve(data.size() + 8);
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = data.find('\n', begin);
        text += "data: ";
        text += data.substr(begin, end - begin);
        text += '\n';
        if (end == std::string_view::npos)
            break;
        begin = end + 1;
    }
    text += '\n';
    return text;
}

std::string sseEvent(std::string_view name, std::string_view data)
{
    return "event: " + std::string(name) + '\n' + sseEvent(data);
}

} // namespace Daemon
