#include "gateway/streamrows.h"

#include "gateway/boottime.h"
#include "gateway/eventlog.h"
#include "gateway/gatewaymetrics.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <utility>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

constexpr Base::Duration callTimeout = milliseconds(1000);
constexpr Base::Duration firstRetryPause = milliseconds(250);
constexpr Base::Duration maxRetryPause = milliseconds(1000);
/// A host that becomes the writer relies on rows that it has read this recently.
constexpr Base::Duration rowsLifetime = milliseconds(2000);
/// The least time between two calls of the writer.
constexpr Base::Duration writeInterval = milliseconds(250);
/// A row of these takes 27 kilobytes, besides the names of its service and version.
constexpr std::size_t maxStreamsOfRow = 3000;
/// Together with the names, less than the store takes for one row.
constexpr std::size_t maxNamesBytes = 16384;
constexpr std::size_t maxStreamsOfCall = 6 * maxStreamsOfRow;
/// The store accepts 100 entries in one transaction.
constexpr std::size_t maxRemovalsOfCall = 80;

/// Returns a key that is greater than those of all rows written earlier.
std::string rowKey(Base::Milliseconds storeTime, const std::string &writer, std::uint64_t number)
{
    char time[17];
    std::snprintf(time, sizeof(time), "%016" PRIx64, static_cast<std::uint64_t>(storeTime.count()));
    return std::string(time) + '-' + writer + '-' + std::to_string(number);
}

} // namespace

StreamRows::StreamRows(const Settings::Address &store, std::string writer,
                       const Dependencies &dependencies)
    : m_dependencies(dependencies)
    , m_client(std::make_shared<HttpClient>(dependencies.io, store))
    , m_writer(std::move(writer))
    , m_pause(firstRetryPause, maxRetryPause)
{}

void StreamRows::advance(const View &view, Base::TimePoint now)
{
    m_client->checkTime(now);
    Routing::StreamOrigins &origins = m_dependencies.origins;
    // All streams of a service were then begun by the only version that has served.
    if (origins.isHistoryKnown() && !origins.isAnyMixed(now))
        origins.setStoredKnown(true);
    const bool wasWriter = std::exchange(m_wasWriter, view.isWriter);
    const bool isNewWriter = view.isWriter && !wasWriter;
    // Another host may have written since.
    if (isNewWriter && m_storeTime && now - m_storeTime->second >= rowsLifetime)
        m_areRowsKnown = false;
    if (m_client->isBusy() || now < m_nextCall)
        return;
    const bool isReading = !m_nextPage.empty();
    const bool needsOrigins = view.needsOrigins && origins.needsStored(now);
    if (isReading || needsOrigins || (view.isWriter && !m_areRowsKnown))
        read(now);
    else if (view.isWriter)
        write(now);
}

void StreamRows::read(Base::TimePoint now)
{
    m_client->call(m_dependencies.protocol.readStreams(m_nextPage), callTimeout, now,
                   [this](const std::optional<HttpAnswer> &answer) { rowsAnswered(answer); });
}

void StreamRows::rowsAnswered(const std::optional<HttpAnswer> &answer)
{
    if (!answer) {
        callFailed(nameOfMissing(*m_client));
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(reading, m_dependencies.protocol.streams(*answer));
            takePage(reading, bootTimeNow());
            return {};
        },
        [&](const StoreRefused &) { callFailed("refused"); },
        [&](const MalformedStoreAnswer &it) { callFailed(it.what.c_str()); },
        [&] { callFailed("unknown"); });
}

void StreamRows::takePage(const StreamReading &reading, Base::TimePoint now)
{
    m_dependencies.metrics.storeCallFinished("streams", true);
    m_pause.reset();
    m_storeTime = {reading.storeTime, now};
    if (m_nextPage.empty()) {
        m_rows.clear();
        m_malformedRows = 0;
    }
    m_nextPage = reading.continueFrom;
    Routing::StreamOrigins &origins = m_dependencies.origins;
    for (const StreamRow &row : reading.rows) {
        m_rows[row.key] = row.writtenAt;
        if (reading.storeTime - row.writtenAt < origins.memory())
            origins.applyStored(row.begun, now);
    }
    // The writer removes them with the rows that are too old.
    for (const std::string &key : reading.malformed)
        m_rows[key] = Base::Milliseconds(0);
    m_malformedRows += reading.malformed.size();
    if (!m_nextPage.empty())
        return;
    m_areRowsKnown = true;
    origins.setStoredKnown(true);
    m_dependencies.log.write(LogLine("streams.read")
                                 .add("rows", m_rows.size())
                                 .add("malformed", m_malformedRows)
                                 .add("streams", origins.size()),
                             now);
}

StreamChanges StreamRows::dueChanges(Base::TimePoint now)
{
    StreamChanges changes;
    const Base::Milliseconds time = storeTime(now);
    for (Routing::StreamReport &begun : m_dependencies.origins.unstored(maxStreamsOfCall, now)) {
        const Routing::ServiceVersion &origin = begun.origin;
        if (origin.service.size() + origin.softwareVersion.size() > maxNamesBytes) {
            // No row takes them, and they must not keep others from being stored.
            m_dependencies.origins.recordStored(begun.streams);
            continue;
        }
        for (std::size_t i = 0; i < begun.streams.size(); i += maxStreamsOfRow) {
            const auto first = begun.streams.begin() + static_cast<std::ptrdiff_t>(i);
            const auto count = std::min(maxStreamsOfRow, begun.streams.size() - i);
            changes.puts.push_back({rowKey(time, m_writer, ++m_lastRow),
                                    time,
                                    {origin, {first, first + static_cast<std::ptrdiff_t>(count)}}});
        }
    }
    for (const auto &[key, writtenAt] : m_rows) {
        if (changes.removals.size() == maxRemovalsOfCall)
            break;
        if (time - writtenAt >= m_dependencies.origins.memory())
            changes.removals.push_back(key);
    }
    return changes;
}

void StreamRows::write(Base::TimePoint now)
{
    m_nextCall = now + writeInterval;
    StreamChanges changes = dueChanges(now);
    if (changes.isEmpty())
        return;
    const HttpCall call = m_dependencies.protocol.writeStreams(changes);
    m_client->call(call, callTimeout, now,
                   [this, changes = std::move(changes)](const std::optional<HttpAnswer> &answer) {
                       if (!answer) {
                           callFailed(nameOfMissing(*m_client));
                           return;
                       }
                       boost::leaf::try_handle_all(
                           [&]() -> Base::Result<void> {
                               BOOST_LEAF_CHECK(m_dependencies.protocol.streamsWritten(*answer));
                               written(changes);
                               return {};
                           },
                           [&](const StoreRefused &) { callFailed("not written"); },
                           [&] { callFailed("unknown"); });
                   });
}

void StreamRows::written(const StreamChanges &changes)
{
    m_dependencies.metrics.storeCallFinished("streams", true);
    m_pause.reset();
    std::size_t streams = 0;
    for (const StreamRow &row : changes.puts) {
        m_rows[row.key] = row.writtenAt;
        m_dependencies.origins.recordStored(row.begun.streams);
        streams += row.begun.streams.size();
    }
    for (const std::string &key : changes.removals)
        m_rows.erase(key);
    m_dependencies.log.write(LogLine("streams.written")
                                 .add("rows", changes.puts.size())
                                 .add("streams", streams)
                                 .add("removed", changes.removals.size()),
                             bootTimeNow());
}

void StreamRows::callFailed(const char *why)
{
    const Base::TimePoint now = bootTimeNow();
    m_dependencies.metrics.storeCallFinished("streams", false);
    m_dependencies.log.write(LogLine("streams.call_failed").add("why", why), now);
    // A write may have been performed, or may be performed later.
    m_areRowsKnown = false;
    m_nextPage.clear();
    m_nextCall = now + m_pause.next();
}

Base::Milliseconds StreamRows::storeTime(Base::TimePoint now) const
{
    const auto time =
        m_storeTime->first + std::chrono::duration_cast<milliseconds>(now - m_storeTime->second);
    return std::max(Base::Milliseconds(0), time);
}

} // namespace Gateway
