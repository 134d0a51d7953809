#include "coordination/leavingmarks.h"

#include <algorithm>

namespace Coordination {

LeavingMarks::LeavingMarks(const LeavingPolicy &policy)
    : m_policy(policy)
{}

bool LeavingMarks::add(const std::string &name, Base::Incarnation incarnation)
{
    const auto [it, isNew] = m_marks.try_emplace(name);
    if (!isNew && incarnation <= it->second.incarnation)
        return false;
    it->second = {incarnation, 0, std::nullopt};
    if (m_marks.size() > m_policy.maxCount)
        dropOldest();
    return true;
}

void LeavingMarks::reconcile(const Storage::HostListing &listing, Base::TimePoint now)
{
    std::map<std::string, Base::Incarnation> listed;
    for (const Storage::ListedHost &host : listing.hosts)
        listed[host.name] = host.incarnation;
    for (auto &[name, mark] : m_marks) {
        const auto it = listed.find(name);
        const bool isNeeded = it != listed.end() && it->second <= mark.incarnation;
        if (isNeeded)
            mark.obsoleteSince.reset();
        else if (!mark.obsoleteSince)
            mark.obsoleteSince = now;
    }
}

void LeavingMarks::advance(Base::TimePoint now)
{
    std::erase_if(m_marks, [&](const auto &entry) {
        const Mark &mark = entry.second;
        return mark.obsoleteSince && now - *mark.obsoleteSince >= m_policy.obsoleteRetention;
    });
}

bool LeavingMarks::covers(const std::string &name, Base::Incarnation incarnation) const
{
    const auto it = m_marks.find(name);
    return it != m_marks.end() && incarnation <= it->second.incarnation;
}

std::vector<LeavingMark> LeavingMarks::takeForHeartbeat(bool isFull)
{
    std::vector<std::map<std::string, Mark>::iterator> selected;
    for (auto it = m_marks.begin(); it != m_marks.end(); ++it) {
        const bool isFresh = it->second.sendCount < m_policy.freshSendCount;
        if (isFresh || (isFull && !it->second.obsoleteSince))
            selected.push_back(it);
    }
    std::stable_sort(selected.begin(), selected.end(), [](const auto &a, const auto &b) {
        return a->second.sendCount < b->second.sendCount;
    });
    if (!isFull && selected.size() > m_policy.maxFreshPerHeartbeat)
        selected.resize(m_policy.maxFreshPerHeartbeat);
    std::vector<LeavingMark> marks;
    for (const auto &it : selected) {
        ++it->second.sendCount;
        marks.push_back({it->first, it->second.incarnation});
    }
    return marks;
}

void LeavingMarks::dropOldest()
{
    auto oldest = m_marks.end();
    for (auto it = m_marks.begin(); it != m_marks.end(); ++it) {
        if (!it->second.obsoleteSince)
            continue;
        if (oldest == m_marks.end() || *it->second.obsoleteSince < *oldest->second.obsoleteSince)
            oldest = it;
    }
    if (oldest != m_marks.end())
        m_marks.erase(oldest);
}

} // namespace Coordination
