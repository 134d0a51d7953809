#include "daemon/httprequest.h"

namespace Daemon {

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string pair = target.substr(begin + 1, end - begin - 1);
        if (pair.rfind(name + '=', 0) == 0)
            return pair.substr(name.size() + 1);
        begin = end;
    }
    return {};
}

} // namespace Daemon
