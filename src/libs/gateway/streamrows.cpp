#include "gateway/streamrows.h"

#include "gateway/boottime.h"
#include "gateway/eventlog.h"
#include "gateway/gatewaymetrics.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <span>
#include <utility>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

constexpr Base::Duration callTimeout = milliseconds(1000);
constexpr Base::Duration firstRetryPause = milliseconds(250);
constexpr Base::Duration maxRetryPause = milliseconds(1000);
/// A host that becomes the writer relies on rows that it has read this recently.
constexpr Base::Duration rowsLifetime = milliseconds(2000);
/// A host's estimate of the store's clock may be off by this much.
constexpr Base::Milliseconds maxClockError{1000};
/// The least time between two calls of the writer.
constexpr Base::Duration writeInterval = milliseconds(100);
/// The store takes rows of 65,536 bytes.
constexpr std::size_t maxRowBytes = 48UL * 1024;
constexpr std::size_t maxNamesBytes = 16UL * 1024;
/// One stream in an encoded row.
constexpr std::size_t maxStreamBytes = 9;
/// Beside the names of a service and a version in an encoded row.
constexpr std::size_t namesFramingBytes = 64;
/// They fit into a call, which the store takes up to a megabyte.
constexpr std::size_t maxStreamsOfCall = 20'000;
/// The store accepts 100 entries in one transaction.
constexpr std::size_t maxRemovalsOfCall = 80;

std::size_t namesBytes(const Routing::ServiceVersion &origin)
{
    return origin.service.size() + origin.softwareVersion.size() + namesFramingBytes;
}

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
    const bool wasWriter = std::exchange(m_wasWriter, view.isWriter);
    const bool isNewWriter = view.isWriter && !wasWriter;
    // Another host may have written since.
    if (isNewWriter && m_storeTime && now - m_storeTime->second >= rowsLifetime)
        m_areRowsKnown = false;
    if (m_client->isBusy() || now < m_nextCall)
        return;
    const bool isReading = !m_nextPage.empty();
    const bool needsOrigins = view.needsOrigins && !m_dependencies.origins.isStoredKnown();
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
        const Base::Milliseconds age = reading.storeTime - row.writtenAt;
        // The store's clock may have begun anew. Such a row is never too old, so it is removed.
        m_rows[row.key] = age < -maxClockError ? Base::Milliseconds(0) : row.writtenAt;
        if (age >= origins.memory() || age < -maxClockError)
            continue;
        for (const Routing::StreamReport &begun : row.begun)
            origins.applyStored(begun, std::max(Base::Milliseconds(0), age), now);
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
    for (const Routing::StreamReport &begun :
         m_dependencies.origins.unstored(maxStreamsOfCall, now)) {
        if (namesBytes(begun.origin) > maxNamesBytes) {
            // No row takes them, and they must not keep others from being stored.
            m_dependencies.origins.recordStored(begun.streams);
            continue;
        }
        addTo(changes, begun, time);
    }
    for (const auto &[key, writtenAt] : m_rows) {
        if (changes.removals.size() == maxRemovalsOfCall)
            break;
        if (time - writtenAt >= m_dependencies.origins.memory())
            changes.removals.push_back(key);
    }
    return changes;
}

void StreamRows::addTo(StreamChanges &changes, const Routing::StreamReport &begun,
                       Base::Milliseconds time)
{
    std::span<const Routing::StreamId> left(begun.streams);
    while (!left.empty()) {
        const std::size_t names = namesBytes(begun.origin);
        std::size_t room = m_rowBytesLeft > names ? (m_rowBytesLeft - names) / maxStreamBytes : 0;
        if (changes.puts.empty() || room == 0) {
            changes.puts.push_back({rowKey(time, m_writer, ++m_lastRow), time, {}});
            m_rowBytesLeft = maxRowBytes;
            room = (m_rowBytesLeft - names) / maxStreamBytes;
        }
        const std::size_t count = std::min(room, left.size());
        const auto first = left.first(count);
        changes.puts.back().begun.push_back({begun.origin, {first.begin(), first.end()}});
        m_rowBytesLeft -= names + count * maxStreamBytes;
        left = left.subspan(count);
    }
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
        for (const Routing::StreamReport &begun : row.begun) {
            m_dependencies.origins.recordStored(begun.streams);
            streams += begun.streams.size();
        }
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
