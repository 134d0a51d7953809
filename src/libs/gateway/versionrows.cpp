#include "gateway/versionrows.h"

#include "gateway/boottime.h"
#include "gateway/eventlog.h"
#include "gateway/gatewaymetrics.h"

#include <algorithm>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

constexpr Base::Duration callTimeout = milliseconds(1000);
constexpr Base::Duration firstRetryPause = milliseconds(250);
constexpr Base::Duration maxRetryPause = milliseconds(1000);
/// A host that becomes the writer relies on rows that it has read this recently.
constexpr Base::Duration rowsLifetime = milliseconds(2000);
/// The store accepts 100 entries in one transaction; each change takes two.
constexpr std::size_t maxChangesOfCall = 40;

} // namespace

VersionRows::VersionRows(const Settings::Address &store, const Dependencies &dependencies)
    : m_dependencies(dependencies)
    , m_client(std::make_shared<HttpClient>(dependencies.io, store))
    , m_pause(firstRetryPause, maxRetryPause)
{}

void VersionRows::advance(const View &view, Base::TimePoint now)
{
    m_client->checkTime(now);
    m_usedHere.insert(view.used.begin(), view.used.end());
    const bool wasWriter = std::exchange(m_wasWriter, view.isWriter);
    const bool isNewWriter = view.isWriter && !wasWriter;
    // Another host may have written since.
    if (isNewWriter && m_storeTime && now - m_storeTime->second >= rowsLifetime)
        m_areRowsKnown = false;
    if (m_client->isBusy() || now < m_nextCall)
        return;
    const bool isReading = !m_nextPage.empty();
    const bool needsRows = view.isWriter && !m_areRowsKnown;
    const bool needsHistory = view.needsHistory && !m_dependencies.origins.isHistoryKnown();
    if (isReading || needsRows || needsHistory)
        read(now);
    else if (view.isWriter)
        write(view, now);
}

void VersionRows::read(Base::TimePoint now)
{
    m_client->call(m_dependencies.protocol.readVersions(m_nextPage), callTimeout, now,
                   [this](const std::optional<HttpAnswer> &answer) { rowsAnswered(answer); });
}

void VersionRows::rowsAnswered(const std::optional<HttpAnswer> &answer)
{
    if (!answer) {
        callFailed(nameOfMissing(*m_client));
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(reading, m_dependencies.protocol.versions(*answer));
            takePage(reading, bootTimeNow());
            return {};
        },
        [&](const StoreRefused &) { callFailed("refused"); },
        [&](const MalformedStoreAnswer &it) { callFailed(it.what.c_str()); },
        [&] { callFailed("unknown"); });
}

void VersionRows::takePage(const VersionReading &reading, Base::TimePoint now)
{
    m_dependencies.metrics.storeCallFinished("versions", true);
    m_pause.reset();
    m_storeTime = {reading.storeTime, now};
    if (m_nextPage.empty()) {
        m_rows.clear();
        m_malformedRows.clear();
    }
    m_nextPage = reading.continueFrom;
    for (const VersionRow &row : reading.rows) {
        m_rows[row.version] = row;
        // A version that no host has seen go may have served until just now.
        const Base::Milliseconds age =
            row.goneAt ? std::max(Base::Milliseconds(0), reading.storeTime - *row.goneAt)
                       : Base::Milliseconds(0);
        m_dependencies.origins.recordVersion(row.version, now - age, now);
    }
    m_malformedRows.insert(m_malformedRows.end(), reading.malformed.begin(),
                           reading.malformed.end());
    if (!m_nextPage.empty())
        return;
    m_areRowsKnown = true;
    m_dependencies.origins.setHistoryKnown(true);
    m_dependencies.log.write(LogLine("versions.read")
                                 .add("rows", m_rows.size())
                                 .add("malformed", m_malformedRows.size()),
                             now);
}

VersionChanges VersionRows::changesFor(const View &view, Base::TimePoint now) const
{
    VersionChanges changes;
    // A malformed row may have the key of a row that is to be written.
    if (!m_malformedRows.empty()) {
        changes.removals = m_malformedRows;
        changes.removals.resize(std::min(changes.removals.size(), maxChangesOfCall));
        return changes;
    }
    std::set<Routing::ServiceVersion> remembered = view.used;
    for (const Routing::ServiceVersion &version : view.used) {
        const auto row = m_rows.find(version);
        if (row == m_rows.end())
            changes.puts.push_back({version, std::nullopt, {}, 0});
        else if (row->second.goneAt)
            changes.puts.push_back({version, std::nullopt, row->second.key, row->second.revision});
    }
    for (const Routing::VersionAge &it : m_dependencies.origins.versions().ages(now)) {
        if (!remembered.insert(it.version).second)
            continue;
        const auto row = m_rows.find(it.version);
        const Base::Milliseconds goneAt = storeTime(now - it.age);
        if (row == m_rows.end() && m_usedHere.contains(it.version))
            changes.puts.push_back({it.version, goneAt, {}, 0});
        else if (row != m_rows.end() && !row->second.goneAt)
            changes.puts.push_back({it.version, goneAt, row->second.key, row->second.revision});
    }
    for (const auto &[version, row] : m_rows) {
        if (!remembered.contains(version))
            changes.removals.push_back(row);
    }
    changes.puts.resize(std::min(changes.puts.size(), maxChangesOfCall));
    changes.removals.resize(
        std::min(changes.removals.size(), maxChangesOfCall - changes.puts.size()));
    return changes;
}

void VersionRows::write(const View &view, Base::TimePoint now)
{
    VersionChanges changes = changesFor(view, now);
    std::erase_if(m_usedHere, [&](const Routing::ServiceVersion &it) {
        return !view.used.contains(it) && !m_dependencies.origins.versions().isRemembered(it, now);
    });
    if (changes.isEmpty())
        return;
    const HttpCall call = m_dependencies.protocol.writeVersions(changes);
    m_client->call(call, callTimeout, now,
                   [this, changes = std::move(changes)](const std::optional<HttpAnswer> &answer) {
                       boost::leaf::try_handle_all(
                           [&]() -> Base::Result<void> {
                               BOOST_LEAF_AUTO(writing, m_dependencies.protocol.versionsWritten(
                                                            answer.value_or(HttpAnswer{})));
                               written(writing, changes);
                               return {};
                           },
                           [&](const StoreRefused &) { callFailed("not written"); },
                           [&] { callFailed("unknown"); });
                   });
}

void VersionRows::written(const VersionWriting &writing, const VersionChanges &changes)
{
    m_dependencies.metrics.storeCallFinished("versions", true);
    m_pause.reset();
    m_areRowsKnown = writing.isWritten && m_malformedRows.empty();
    if (!writing.isWritten) {
        // Another host has written meanwhile.
        m_nextCall = bootTimeNow() + firstRetryPause;
        return;
    }
    for (VersionRow row : changes.puts) {
        m_dependencies.log.write(LogLine("version.written")
                                     .add("service", row.version.service)
                                     .add("version", row.version.softwareVersion)
                                     .add("gone", row.goneAt.has_value()),
                                 bootTimeNow());
        row.revision = writing.revision;
        m_rows[row.version] = std::move(row);
    }
    for (const VersionRow &row : changes.removals)
        m_rows.erase(row.version);
}

void VersionRows::callFailed(const char *why)
{
    const Base::TimePoint now = bootTimeNow();
    m_dependencies.metrics.storeCallFinished("versions", false);
    m_dependencies.log.write(LogLine("versions.call_failed").add("why", why), now);
    // A write may have been performed, or may be performed later.
    m_areRowsKnown = false;
    m_nextPage.clear();
    m_nextCall = now + m_pause.next();
}

Base::Milliseconds VersionRows::storeTime(Base::TimePoint at) const
{
    const auto time =
        m_storeTime->first + std::chrono::duration_cast<milliseconds>(at - m_storeTime->second);
    return std::max(Base::Milliseconds(0), time);
}

} // namespace Gateway
