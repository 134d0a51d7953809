#include "routing/crashhistory.h"

#include <algorithm>
#include <utility>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// The maximum number of requests that are remembered; they take some hundred kilobytes.
constexpr std::size_t maxEntries = 1024;
constexpr std::size_t maxEndsOfEntry = 8;
/// The maximum number of entries in one report; they take about three kilobytes.
constexpr std::size_t maxReported = 64;
/// Entries are reported for this long. The time covers the way through the leaders of a large fleet
/// with some lost reports.
constexpr Base::Duration reportedFor = std::chrono::seconds(2);
/// Bytes that a server sent before it ended may arrive this much later.
constexpr Base::Duration lateDelivery = milliseconds(100);
/// The time by which ends at two hosts may seem to be in the wrong order, since a report takes time
/// to arrive.
constexpr Base::Duration reportDelay = milliseconds(50);
/// Two reports of one server's end that differ by less are of the same end.
constexpr Base::Duration sameEndTime = std::chrono::seconds(1);

milliseconds age(Base::TimePoint at, Base::TimePoint now)
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - at));
}

} // namespace

bool CrashHistory::recordEnd(const RequestContent &content, const ServerEnd &end,
                             Base::TimePoint now)
{
    if (now - end.endedAt >= memory)
        return false;
    const auto found = m_entries.find(content);
    if (found == m_entries.end() && m_entries.size() >= maxEntries)
        evictOne();
    Entry &entry = m_entries[content];
    if (end.endedAt <= entry.servedAt)
        return false;
    const auto known = std::ranges::find(entry.ends, end.server, &ServerEnd::server);
    if (known != entry.ends.end()) {
        if (end.endedAt < known->endedAt + sameEndTime)
            return false;
        entry.ends.erase(known);
    }
    const auto at = std::ranges::upper_bound(entry.ends, end.endedAt, {}, &ServerEnd::endedAt);
    entry.ends.insert(at, end);
    if (entry.ends.size() > maxEndsOfEntry)
        entry.ends.erase(entry.ends.begin());
    return true;
}

void CrashHistory::recordServed(const RequestContent &content, Base::TimePoint now)
{
    const auto it = m_entries.find(content);
    if (it == m_entries.end() || it->second.ends.empty())
        return;
    it->second.ends.clear();
    it->second.servedAt = now;
}

bool CrashHistory::apply(const std::vector<CrashReport> &reports, Base::TimePoint now)
{
    bool isNews = false;
    for (const CrashReport &it : reports) {
        const Base::TimePoint at = now - it.age;
        if (!it.server.isEmpty()) {
            isNews |= recordEnd(it.content, {it.server, now - it.sentAge, at, it.isSilence}, now);
            continue;
        }
        const auto known = m_entries.find(it.content);
        if (known == m_entries.end() || at <= known->second.servedAt + sameEndTime)
            continue;
        known->second.servedAt = at;
        std::erase_if(known->second.ends, [at](const ServerEnd &end) { return end.endedAt <= at; });
        isNews = true;
    }
    return isNews;
}

std::vector<CrashReport> CrashHistory::recent(Base::TimePoint now) const
{
    std::vector<std::pair<std::size_t, CrashReport>> reports;
    for (const auto &[content, entry] : m_entries) {
        if (entry.servedAt != Base::TimePoint::min() && now - entry.servedAt < reportedFor)
            reports.push_back({maxEnds, {content, {}, {}, age(entry.servedAt, now), false}});
        for (const ServerEnd &it : entry.ends) {
            if (now - it.endedAt >= reportedFor)
                continue;
            reports.push_back(
                {entry.ends.size(),
                 {content, it.server, age(it.sentAt, now), age(it.endedAt, now), it.isSilence}});
        }
    }
    std::ranges::stable_sort(reports, std::ranges::greater(),
                             &std::pair<std::size_t, CrashReport>::first);
    std::vector<CrashReport> result;
    for (auto &[ends, report] : reports) {
        if (result.size() >= maxReported)
            break;
        result.push_back(std::move(report));
    }
    return result;
}

unsigned CrashHistory::ends(const RequestContent &content, Base::TimePoint now) const
{
    const auto found = m_entries.find(content);
    if (found == m_entries.end())
        return 0;
    const std::vector<ServerEnd> &ends = found->second.ends;
    unsigned count = 0;
    Base::TimePoint last;
    for (const ServerEnd &it : ends) {
        if (now - it.endedAt >= memory || !hasEnded(it))
            continue;
        const bool isCommonCause = count > 0 && it.sentAt + reportDelay < last;
        if (isCommonCause || isExplained(it.server, ends.size()))
            continue;
        ++count;
        last = it.endedAt;
    }
    return count;
}

bool CrashHistory::isBlocked(const RequestContent &content, Base::TimePoint now) const
{
    const auto found = m_entries.find(content);
    return found != m_entries.end() && found->second.ends.size() >= maxEnds
           && ends(content, now) >= maxEnds;
}

bool CrashHistory::hasEnded(const ServerEnd &end) const
{
    if (end.isSilence && !m_life->isGone(end.server))
        return false;
    const std::optional<Base::TimePoint> last = m_life->lastResponseFrom(end.server);
    return !last || *last <= end.endedAt + lateDelivery;
}

bool CrashHistory::isExplained(const Base::ServerId &server, std::size_t ends) const
{
    return std::ranges::any_of(m_entries, [&](const auto &it) {
        const std::vector<ServerEnd> &others = it.second.ends;
        return others.size() > ends
               && std::ranges::find(others, server, &ServerEnd::server) != others.end();
    });
}

std::size_t CrashHistory::blocked(Base::TimePoint now) const
{
    std::size_t count = 0;
    for (const auto &[content, entry] : m_entries)
        count += isBlocked(content, now) ? 1 : 0;
    return count;
}

void CrashHistory::advance(Base::TimePoint now)
{
    for (auto &[content, entry] : m_entries)
        std::erase_if(entry.ends, [now](const auto &it) { return now - it.endedAt >= memory; });
    std::erase_if(m_entries, [now](const auto &it) {
        const Entry &entry = it.second;
        const bool isServedRecent =
            entry.servedAt != Base::TimePoint::min() && now - entry.servedAt < memory;
        return entry.ends.empty() && !isServedRecent;
    });
}

void CrashHistory::evictOne()
{
    const auto rank = [](const auto &it) {
        const Entry &entry = it.second;
        return std::pair(entry.ends.size(),
                         entry.ends.empty() ? entry.servedAt : entry.ends.back().endedAt);
    };
    const auto least = std::ranges::min_element(m_entries, {}, rank);
    m_entries.erase(least);
}

} // namespace Routing
