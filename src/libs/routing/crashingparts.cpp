#include "routing/crashingparts.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Routing {

namespace {

using Kind = PartReport::Kind;
using std::chrono::milliseconds;

constexpr std::size_t maxEntries = 1024;
constexpr std::size_t maxEndsOfEntry = 16;
/// The maximum numbers of entries in one report.
constexpr std::size_t maxBlockedReported = 64;
constexpr std::size_t maxReported = 192;
/// Ends and answers are reported for this long. The time covers the way through the leaders of a
/// large fleet with some lost reports.
constexpr Base::Duration reportedFor = std::chrono::seconds(2);
/// Bytes that a server sent before it ended may arrive this much later.
constexpr Base::Duration lateDelivery = milliseconds(100);
/// Until then, the server may yet answer something, which shows that only a connection broke.
constexpr Base::Duration settleTime = milliseconds(150);
/// Servers that end within this time have ended for a common cause.
constexpr Base::Duration commonCauseTime = milliseconds(100);
/// Times of another host may be off by this much.
constexpr Base::Duration reportError = milliseconds(10);
/// A part that was answered within this time is sound, as far as is known.
constexpr Base::Duration soundMemory = std::chrono::minutes(10);
/// Ends under one request and its repeats do not show which part is the cause.
constexpr std::size_t minContents = 2;
constexpr Base::Duration judgeInterval = milliseconds(20);

milliseconds age(Base::TimePoint at, Base::TimePoint now)
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - at));
}

/// The last part of a prompt belongs to its request alone.
std::span<const PromptPart> sharedParts(std::span<const PromptPart> parts)
{
    return parts.first(parts.empty() ? 0 : parts.size() - 1);
}

} // namespace

bool CrashingParts::Entry::isBlocked(Base::TimePoint now) const
{
    return wasBlocked() && now - blockedAt < blockTime;
}

CrashingParts::Entry &CrashingParts::entry(std::uint64_t part)
{
    const auto found = m_entries.find(part);
    if (found != m_entries.end())
        return found->second;
    if (m_entries.size() >= maxEntries) {
        const auto rank = [](const auto &it) {
            const Entry &entry = it.second;
            const Base::TimePoint at =
                entry.ends.empty() ? entry.soundAt : entry.ends.back().endedAt;
            return std::tuple(entry.wasBlocked(), entry.ends.size(), at);
        };
        m_entries.erase(std::ranges::min_element(m_entries, {}, rank));
    }
    return m_entries[part];
}

void CrashingParts::addEnd(Entry &entry, const ServerEnd &end)
{
    const bool isKnown =
        std::ranges::find(entry.ends, end.server, &ServerEnd::server) != entry.ends.end();
    if (isKnown || end.endedAt <= entry.soundAt)
        return;
    const auto at = std::ranges::upper_bound(entry.ends, end.endedAt, {}, &ServerEnd::endedAt);
    entry.ends.insert(at, end);
    if (entry.ends.size() > maxEndsOfEntry)
        entry.ends.erase(entry.ends.begin());
    m_hasEnds = true;
}

void CrashingParts::setSound(Entry &entry, Base::TimePoint beganAt)
{
    entry.soundAt = std::max(entry.soundAt, beganAt);
    std::erase_if(entry.ends, [beganAt](const auto &it) { return it.endedAt <= beganAt; });
    if (entry.blockedAt <= beganAt)
        entry.blockedAt = Base::TimePoint::min();
}

void CrashingParts::setBlocked(std::uint64_t part, Entry &entry, Base::TimePoint at,
                               Base::TimePoint now)
{
    if (!entry.isBlocked(now))
        m_newlyBlocked.push_back(part);
    entry.blockedAt = std::max(entry.blockedAt, at);
    for (const ServerEnd &it : entry.ends)
        m_explained.insert(it.server);
}

bool CrashingParts::recordEnd(std::span<const PromptPart> parts, const ServerEnd &end,
                              Base::TimePoint now)
{
    bool isUrgent = false;
    for (const PromptPart &it : sharedParts(parts)) {
        Entry &known = entry(it.hash);
        addEnd(known, end);
        if (known.isBlocked(now))
            m_explained.insert(end.server);
        isUrgent |= known.ends.size() > 1;
    }
    judge(now);
    return isUrgent;
}

void CrashingParts::recordSound(std::span<const PromptPart> parts, Base::TimePoint beganAt,
                                Base::TimePoint)
{
    for (const PromptPart &it : sharedParts(parts))
        setSound(entry(it.hash), beganAt);
}

void CrashingParts::apply(const std::vector<PartReport> &reports, Base::TimePoint now)
{
    for (const PartReport &it : reports) {
        const Base::TimePoint at = now - it.age;
        if (it.kind == Kind::End) {
            Entry &known = entry(it.part);
            addEnd(known, {it.server, now - it.sentAge, at, it.isSilence, it.content});
            if (known.isBlocked(now))
                m_explained.insert(it.server);
        } else if (it.kind == Kind::Sound) {
            setSound(entry(it.part), at);
        } else if (it.age < blockTime) {
            Entry &known = entry(it.part);
            if (at > known.soundAt)
                setBlocked(it.part, known, at, now);
        }
    }
    judge(now);
}

std::vector<PartReport> CrashingParts::recent(Base::TimePoint now) const
{
    std::vector<PartReport> blocked;
    std::vector<std::pair<std::size_t, PartReport>> others;
    for (const auto &[part, entry] : m_entries) {
        if (entry.isBlocked(now) && blocked.size() < maxBlockedReported)
            blocked.push_back({part, Kind::Blocked, {}, {}, age(entry.blockedAt, now), false});
        const bool isSoundNews = entry.soundAt != Base::TimePoint::min()
                                 && now - entry.soundAt < reportedFor + proofTime;
        // An answer matters to others only if servers have ended under such requests.
        const bool hasRecentEnds = !entry.ends.empty() && now - entry.ends.back().endedAt < memory;
        if (isKnownSound(entry, now) && (hasRecentEnds || (m_hasEnds && isSoundNews)))
            others.push_back(
                {entry.ends.size(), {part, Kind::Sound, {}, {}, age(entry.soundAt, now), false}});
        for (const ServerEnd &it : entry.ends) {
            if (now - it.endedAt < reportedFor)
                others.push_back({entry.ends.size(),
                                  {part, Kind::End, it.server, age(it.sentAt, now),
                                   age(it.endedAt, now), it.isSilence, it.content}});
        }
    }
    std::ranges::stable_sort(others, std::ranges::greater(),
                             &std::pair<std::size_t, PartReport>::first);
    for (auto &[ends, report] : others) {
        if (blocked.size() >= maxReported)
            break;
        blocked.push_back(std::move(report));
    }
    return blocked;
}

std::optional<std::uint64_t> CrashingParts::blockedPart(std::span<const PromptPart> parts,
                                                        Base::TimePoint now)
{
    if (m_entries.empty())
        return std::nullopt;
    if (m_hasEnds && now - m_judgedAt >= judgeInterval)
        judge(now);
    for (const PromptPart &it : sharedParts(parts)) {
        const auto known = m_entries.find(it.hash);
        if (known == m_entries.end())
            continue;
        if (known->second.isBlocked(now) || isUnsettled(known->second, now))
            return it.hash;
    }
    return std::nullopt;
}

bool CrashingParts::isUnsettled(const Entry &entry, Base::TimePoint now) const
{
    return entry.ends.size() >= maxEnds && now - entry.ends.back().endedAt < settleTime
           && !isKnownSound(entry, now) && countedEnds(entry, {}, now).size() >= maxEnds;
}

bool CrashingParts::isSuspect(std::span<const PromptPart> parts, Base::TimePoint now) const
{
    return std::ranges::any_of(sharedParts(parts), [&](const PromptPart &it) {
        const auto known = m_entries.find(it.hash);
        return known != m_entries.end() && !isKnownSound(known->second, now)
               && countedEnds(known->second, {}, now).size() >= maxEnds;
    });
}

std::size_t CrashingParts::blocked(Base::TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_entries, [now](const auto &it) { return it.second.isBlocked(now); }));
}

std::vector<std::uint64_t> CrashingParts::takeNewlyBlocked()
{
    return std::exchange(m_newlyBlocked, {});
}

void CrashingParts::advance(Base::TimePoint now)
{
    m_hasEnds = false;
    m_explained.clear();
    for (auto &[part, entry] : m_entries) {
        std::erase_if(entry.ends, [now](const auto &it) { return now - it.endedAt >= memory; });
        if (entry.wasBlocked() && now - entry.blockedAt >= 2 * blockTime)
            entry.blockedAt = Base::TimePoint::min();
        m_hasEnds |= !entry.ends.empty();
        if (!entry.isBlocked(now))
            continue;
        for (const ServerEnd &it : entry.ends)
            m_explained.insert(it.server);
    }
    std::erase_if(m_entries, [this, now](const auto &it) {
        return it.second.ends.empty() && !it.second.wasBlocked() && !isKnownSound(it.second, now);
    });
    judge(now);
}

bool CrashingParts::hasEnded(const ServerEnd &end, Base::Duration settleTime,
                             Base::TimePoint now) const
{
    const bool isGone = m_life->isGone(end.server);
    if (!isGone && (end.isSilence || now - end.endedAt < settleTime))
        return false;
    const std::optional<Base::TimePoint> last = m_life->lastResponseFrom(end.server);
    return !last || *last <= end.endedAt + lateDelivery;
}

std::vector<Base::TimePoint>
CrashingParts::countedEnds(const Entry &entry, Base::Duration settleTime, Base::TimePoint now) const
{
    std::vector<Base::TimePoint> counted;
    std::set<std::uint64_t> contents;
    for (const ServerEnd &it : entry.ends) {
        if (now - it.endedAt >= memory || m_explained.contains(it.server)
            || !hasEnded(it, settleTime, now))
            continue;
        const bool isCommonCause = !counted.empty() && it.sentAt + reportError < counted.back()
                                   && it.endedAt - counted.back() < commonCauseTime;
        contents.insert(it.content);
        if (!isCommonCause)
            counted.push_back(it.endedAt);
    }
    if (contents.size() < minContents && !entry.wasBlocked())
        counted.clear();
    return counted;
}

bool CrashingParts::isKnownSound(const Entry &entry, Base::TimePoint now) const
{
    return entry.soundAt != Base::TimePoint::min() && now - entry.soundAt < soundMemory;
}

void CrashingParts::judge(Base::TimePoint now)
{
    m_judgedAt = now;
    if (!m_hasEnds)
        return;
    clearRefuted(now);
    // Parts that were never answered come first, since their ends then count for no other part.
    while (blockWorst(false, now)) {}
    while (blockWorst(true, now)) {}
}

std::size_t CrashingParts::serversEnded(Base::TimePoint from, Base::TimePoint now) const
{
    std::set<Base::ServerId> ended;
    for (const auto &[part, entry] : m_entries) {
        for (const ServerEnd &it : entry.ends) {
            if (it.endedAt >= from && !m_explained.contains(it.server)
                && hasEnded(it, settleTime, now))
                ended.insert(it.server);
        }
    }
    return ended.size();
}

void CrashingParts::clearRefuted(Base::TimePoint now)
{
    for (auto &[part, entry] : m_entries) {
        if (!entry.isBlocked(now) || entry.ends.size() < maxEnds)
            continue;
        const auto ended = std::ranges::count_if(
            entry.ends, [&](const ServerEnd &it) { return hasEnded(it, {}, now); });
        // As news of an answer, this ends the block at the other hosts as well.
        if (ended < maxEnds)
            setSound(entry, now);
    }
}

bool CrashingParts::blockWorst(bool isKnownSound, Base::TimePoint now)
{
    std::vector<Entries::iterator> worst;
    std::size_t most = 1;
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        const Entry &entry = it->second;
        if (entry.ends.empty() || entry.isBlocked(now)
            || this->isKnownSound(entry, now) != isKnownSound)
            continue;
        const std::vector<Base::TimePoint> ends = countedEnds(entry, settleTime, now);
        if (ends.size() < most || (isKnownSound && now - ends.front() < soundWait))
            continue;
        if (ends.size() > most)
            worst.clear();
        most = ends.size();
        worst.push_back(it);
    }
    const bool isTied = worst.size() > 1;
    // A part that is blocked explains its ends, which then count for no other part.
    std::vector<decltype(worst)::value_type> guilty;
    for (const auto &it : worst) {
        if (most < maxEnds && !it->second.wasBlocked())
            continue;
        const Base::TimePoint first = countedEnds(it->second, settleTime, now).front();
        unsigned required = isTied ? maxTiedEnds : maxEnds;
        if (isKnownSound || serversEnded(first, now) > 2 * it->second.ends.size())
            required = maxOddEnds;
        if (most < required && !it->second.wasBlocked())
            continue;
        guilty.push_back(it);
    }
    for (const auto &it : guilty)
        setBlocked(it->first, it->second, now, now);
    return !guilty.empty();
}

} // namespace Routing
