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
    if (m_marks.size() > m_policy.largestCount)
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
        return mark.obsoleteSince && now - *mark.obsoleteSince >= m_policy.keepObsolete;
    });
}

bool LeavingMarks::covers(const std::string &name, Base::Incarnation incarnation) const
{
    const auto it = m_marks.find(name);
    return it != m_marks.end() && incarnation <= it->second.incarnation;
}

std::vector<LeavingMark> LeavingMarks::takeTold(bool isFull)
{
    std::vector<std::map<std::string, Mark>::iterator> told;
    for (auto it = m_marks.begin(); it != m_marks.end(); ++it) {
        const bool isYoung = it->second.told < m_policy.youngTells;
        if (isYoung || (isFull && !it->second.obsoleteSince))
            told.push_back(it);
    }
    std::stable_sort(told.begin(), told.end(),
                     [](const auto &a, const auto &b) { return a->second.told < b->second.told; });
    if (!isFull && told.size() > m_policy.largestTold)
        told.resize(m_policy.largestTold);
    std::vector<LeavingMark> marks;
    for (const auto &it : told) {
        ++it->second.told;
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
