#include "routing/servernotices.h"

#include <algorithm>

namespace Routing {

bool ServerNotices::record(const Base::ServerId &server, const ServerNotice &notice,
                           Base::TimePoint now)
{
    std::erase_if(m_backoffEnds, [now](const auto &it) { return it.second <= now; });
    bool isNews = false;
    if (notice.backoff > Base::Duration::zero()) {
        const auto [end, isFirst] = m_backoffEnds.try_emplace(server, now + notice.backoff);
        end->second = std::max(end->second, now + notice.backoff);
        isNews = isFirst;
    }
    if (notice.tellsMachineLoad)
        m_tellMachineLoad.insert(server);
    if (notice.isLeaving)
        isNews |= m_leaving.insert(server).second;
    return isNews;
}

std::set<Base::ServerId> ServerNotices::unwilling(Base::TimePoint now) const
{
    std::set<Base::ServerId> servers = m_leaving;
    for (const auto &[server, end] : m_backoffEnds) {
        if (now < end)
            servers.insert(server);
    }
    return servers;
}

Base::Duration ServerNotices::backoffLeft(const Base::ServerId &server, Base::TimePoint now) const
{
    const auto end = m_backoffEnds.find(server);
    if (end == m_backoffEnds.end())
        return Base::Duration::zero();
    return std::max(Base::Duration::zero(), end->second - now);
}

} // namespace Routing
