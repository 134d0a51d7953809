#include "routing/streamorigins.h"

#include "base/hash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Routing {

namespace {

/// A stream is reported for this long, in three reports, of which one or two may be lost.
constexpr Base::Duration reportedFor = std::chrono::milliseconds(600);
/// The maximum number of streams in one report; they take nine kilobytes.
constexpr std::size_t maxReported = 1000;
/// Origins are remembered for at least this long.
constexpr Base::Duration minMemory = std::chrono::seconds(30);
/// A stream that began just before its caller took it up may go on for its whole time again.
constexpr int memoryFactor = 2;
/// The maximum number of streams that are remembered; they take about eight megabytes.
constexpr std::size_t maxStreams = 100'000;

} // namespace

StreamId streamId(const Base::CustomerId &customer, const std::string &requestId)
{
    return Base::stableHash(requestId, Base::stableHash(customer.value()));
}

const char *nameOf(Continuation::Kind kind)
{
    switch (kind) {
    case Continuation::Kind::AnyServer:
        return "any_server";
    case Continuation::Kind::SameVersion:
        return "same_version";
    case Continuation::Kind::Unread:
        return "unread";
    case Continuation::Kind::Unproven:
        return "unproven";
    case Continuation::Kind::NoHistory:
        return "no_history";
    case Continuation::Kind::OldServers:
        return "old_servers";
    case Continuation::Kind::Unknown:
        break;
    }
    return "unknown";
}

StreamOrigins::StreamOrigins()
{
    setLongestStream(Base::Duration::zero());
}

void StreamOrigins::setLongestStream(Base::Duration time)
{
    m_newMemory = std::max(minMemory, time * memoryFactor);
    if (m_newMemory >= m_memory)
        setMemory(m_newMemory);
}

void StreamOrigins::setMemory(Base::Duration memory)
{
    m_memory = memory;
    m_versions.setMemory(memory);
    m_shortenAt.reset();
}

void StreamOrigins::updateMemory(Base::TimePoint now)
{
    if (m_newMemory == m_memory)
        return;
    if (!m_shortenAt)
        m_shortenAt = now + m_memory;
    if (now >= *m_shortenAt)
        setMemory(m_newMemory);
}

void StreamOrigins::setVersions(const ServerVersions &versions, Base::TimePoint now)
{
    for (const auto &[service, ofService] : versions) {
        for (const auto &[version, n] : ofService)
            recordVersion({service, version}, now, now);
    }
}

void StreamOrigins::recordVersion(const ServiceVersion &version, Base::TimePoint seenAt,
                                  Base::TimePoint now)
{
    const bool wasMixed = m_versions.isMixed(version.service, now);
    m_versions.record(version, seenAt);
    if (wasMixed || !m_versions.isMixed(version.service, now))
        return;
    // Callers of all open streams may take them up while both versions serve.
    m_skippedByStoring = 0;
    reportAll(Source::Self, version.service, now);
}

void StreamOrigins::setServersCurrentUntil(Base::TimePoint until, Base::TimePoint now)
{
    if (!areServersCurrent(now)) {
        m_isHistoryKnown = false;
        m_isStoredKnown = false;
    }
    m_serversCurrentUntil = until;
}

void StreamOrigins::reportAll(Source source, const std::string &service, Base::TimePoint now)
{
    std::size_t count = 0;
    for (auto it = m_byAge.rbegin(); it != m_byAge.rend(); ++it) {
        const auto found = m_streams.find(it->stream);
        if (found == m_streams.end() || found->second.source > source
            || found->second.origin->service != service)
            continue;
        const auto part = static_cast<int>(count++ / maxReported);
        m_reported.push_back({it->stream, now + part * reportedFor});
    }
}

bool StreamOrigins::recordBegun(StreamId stream, const ServiceVersion &origin, Base::TimePoint now)
{
    add(stream, origin, Source::Self, now);
    if (!m_versions.isMixed(origin.service, now))
        return false;
    m_reported.push_back({stream, now});
    return m_begunVersions.insert(origin).second;
}

void StreamOrigins::add(StreamId stream, const ServiceVersion &origin, Source source,
                        Base::TimePoint now)
{
    const ServiceVersion &shared = *m_origins.insert(origin).first;
    if (!m_streams.try_emplace(stream, Entry{&shared, source, now}).second)
        return;
    m_byAge.push_back({stream, now});
    if (m_byAge.size() > maxStreams)
        removeOldest();
}

void StreamOrigins::removeOldest()
{
    m_streams.erase(m_byAge.front().stream);
    m_byAge.pop_front();
    if (m_skippedByStoring > 0)
        --m_skippedByStoring;
}

void StreamOrigins::applyStored(const StreamReport &stored, Base::Duration age, Base::TimePoint now)
{
    recordVersion(stored.origin, now - age, now);
    for (const StreamId stream : stored.streams)
        add(stream, stored.origin, Source::Store, now);
    recordStored(stored.streams);
}

std::vector<StreamReport> StreamOrigins::unstored(std::size_t maxStreams, Base::TimePoint now)
{
    const std::vector<std::string> mixed = m_versions.mixedServices(now);
    if (mixed.empty())
        return {};
    const auto isToBeStored = [&](const TimedStream &it) {
        const auto found = m_streams.find(it.stream);
        return found != m_streams.end() && !found->second.isStored
               && std::ranges::find(mixed, found->second.origin->service) != mixed.end();
    };
    while (m_skippedByStoring < m_byAge.size() && !isToBeStored(m_byAge[m_skippedByStoring]))
        ++m_skippedByStoring;
    std::map<const ServiceVersion *, std::vector<StreamId>> byOrigin;
    std::size_t count = 0;
    for (std::size_t i = m_skippedByStoring; i < m_byAge.size() && count < maxStreams; ++i) {
        if (!isToBeStored(m_byAge[i]))
            continue;
        const StreamId stream = m_byAge[i].stream;
        byOrigin[m_streams.at(stream).origin].push_back(stream);
        ++count;
    }
    std::vector<StreamReport> unstored;
    for (auto &[origin, streams] : byOrigin)
        unstored.push_back({*origin, std::move(streams)});
    return unstored;
}

void StreamOrigins::recordStored(const std::vector<StreamId> &streams)
{
    for (const StreamId stream : streams) {
        const auto found = m_streams.find(stream);
        if (found != m_streams.end())
            found->second.isStored = true;
    }
}

void StreamOrigins::apply(const std::vector<StreamReport> &reports, Source source, bool relays,
                          Base::TimePoint now)
{
    for (const StreamReport &report : reports) {
        recordVersion(report.origin, now, now);
        for (const StreamId stream : report.streams) {
            const auto known = m_streams.find(stream);
            // Other hosts may not have read what this one has from the store.
            if (known != m_streams.end() && known->second.source != Source::Store)
                continue;
            if (known != m_streams.end())
                known->second.source = source;
            else
                add(stream, report.origin, source, now);
            if (relays)
                m_reported.push_back({stream, now});
        }
    }
}

bool StreamOrigins::repeatReports(Source source, Base::TimePoint now)
{
    // Many hosts may start at once, and each of them needs all streams.
    m_reported.clear();
    for (const std::string &service : m_versions.mixedServices(now))
        reportAll(source, service, now);
    return !m_reported.empty();
}

std::vector<StreamReport> StreamOrigins::reports(Source source, Base::TimePoint now) const
{
    std::map<const ServiceVersion *, std::set<StreamId>> byOrigin;
    std::size_t count = 0;
    // The newest streams come first, since the others were in earlier reports.
    for (auto it = m_reported.rbegin(); it != m_reported.rend() && count < maxReported; ++it) {
        if (it->at > now || now - it->at >= reportedFor)
            continue;
        const auto found = m_streams.find(it->stream);
        if (found == m_streams.end() || found->second.source > source)
            continue;
        count += byOrigin[found->second.origin].insert(it->stream).second ? 1 : 0;
    }
    std::vector<StreamReport> reports;
    for (const auto &[origin, streams] : byOrigin)
        reports.push_back({*origin, {streams.begin(), streams.end()}});
    return reports;
}

Continuation StreamOrigins::continuation(const std::string &service,
                                         const std::optional<StreamId> &stream,
                                         Base::TimePoint now) const
{
    const auto found = stream ? m_streams.find(*stream) : m_streams.end();
    if (found != m_streams.end() && found->second.origin->service == service)
        return {Continuation::Kind::SameVersion, found->second.origin->softwareVersion};
    const std::vector<std::string> versions = m_versions.versions(service, now);
    if (versions.size() > 1)
        return {m_isStoredKnown ? Continuation::Kind::Unknown : Continuation::Kind::Unread, {}};
    if (!areServersCurrent(now))
        return {Continuation::Kind::OldServers, {}};
    if (!m_isHistoryKnown)
        return {Continuation::Kind::NoHistory, {}};
    if (!m_isStoredKnown)
        return {Continuation::Kind::Unread, {}};
    // A stream that waits for a place must not go on at a version that appears meanwhile.
    return {Continuation::Kind::AnyServer, versions.empty() ? std::string() : versions.front()};
}

Continuation StreamOrigins::takeUp(const std::string &service,
                                   const std::optional<StreamId> &stream, Base::TimePoint takenUpAt,
                                   Base::TimePoint now) const
{
    Continuation it = continuation(service, stream, now);
    if (it.kind == Continuation::Kind::AnyServer && m_versionsProvedAt < takenUpAt)
        return {Continuation::Kind::Unproven, {}};
    return it;
}

void StreamOrigins::advance(Base::TimePoint now)
{
    updateMemory(now);
    while (!m_byAge.empty() && now - m_byAge.front().at >= m_memory)
        removeOldest();
    while (!m_reported.empty() && now - m_reported.front().at >= reportedFor)
        m_reported.pop_front();
    m_versions.advance(now);
    std::erase_if(m_begunVersions,
                  [&](const ServiceVersion &it) { return !m_versions.isRemembered(it, now); });
}

} // namespace Routing
