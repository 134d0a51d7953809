#include "gateway/routedurations.h"

#include <algorithm>

namespace Gateway {

void RouteDurations::record(const std::string &route, Base::Duration duration)
{
    Ring &ring = m_routes[route];
    ring.durations[ring.next] = duration;
    ring.next = (ring.next + 1) % remembered;
    ring.size = std::min(ring.size + 1, remembered);
}

std::optional<Base::Duration> RouteDurations::longest(const std::string &route) const
{
    const auto it = m_routes.find(route);
    if (it == m_routes.end())
        return std::nullopt;
    const Ring &ring = it->second;
    return *std::max_element(ring.durations.begin(),
                             ring.durations.begin() + static_cast<std::ptrdiff_t>(ring.size));
}

void RouteDurations::keepOnly(const std::set<std::string> &routes)
{
    std::erase_if(m_routes, [&](const auto &it) { return !routes.contains(it.first); });
}

} // namespace Gateway
