// Signals, changes of the settings file and the shutdown of a gateway.

#include "gateway/boottime.h"
#include "gateway/gateway.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <limits>
#include <memory>
#include <vector>

namespace Gateway {

namespace {

/// Another host can take the request at once.
constexpr Base::Milliseconds leavingRetryAfter{50};
/// One part in so many of the process's memory is for callers' requests.
constexpr std::size_t callerMemoryPart = 3;
/// One part in so many of it is for answers that are kept until they are whole and read.
constexpr std::size_t answerMemoryPart = 3;
/// One part in so many of the process's file descriptors is for its own connections.
constexpr std::size_t ownDescriptorPart = 4;

} // namespace

void Gateway::watchSignals()
{
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    m_signals.add(SIGHUP);
    m_signals.async_wait([this](const boost::system::error_code &ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP)
            reloadIfChanged();
        else
            beginShutdown();
        watchSignals();
    });
}

void Gateway::reloadIfChanged()
{
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(settings, m_settingsWatcher.readIfChanged());
            if (!settings)
                return {};
            applySettings(*settings);
            m_log.write(LogLine("process.reload").add("changed", true), now());
            return {};
        },
        // The settings in force stay, and the next change of the file is tried again.
        [&](const Settings::SettingsFaults &it) {
            m_log.write(
                LogLine("process.reload")
                    .add("changed", false)
                    .add("faults", it.faults.size())
                    .add("first", it.faults.empty() ? std::string() : toString(it.faults.front())),
                now());
        },
        [&] { m_log.write(LogLine("process.reload").add("changed", false), now()); });
}

void Gateway::applySettings(const GatewaySettings &settings)
{
    m_settings.entryListMaxAge = settings.entryListMaxAge;
    m_settings.shutdownGrace = settings.shutdownGrace;
    m_settings.keyRevocation = settings.keyRevocation;
    m_settings.configurationBound = settings.configurationBound;
    m_settings.leavingBound = settings.leavingBound;
    m_settings.retries = settings.retries;
    m_settings.requestLinesPerSecond = settings.requestLinesPerSecond;
    m_settings.memoryBytes = settings.memoryBytes;
    m_settings.fileDescriptors = settings.fileDescriptors;
    limitMemory();
    m_replica->applySettings(m_settings);
    m_log.setRequestLineLimit(settings.requestLinesPerSecond);
    m_services->retryAllowanceChanged(settings.retries);
}

void Gateway::limitMemory()
{
    m_callerShare.memory.setBytes(m_settings.memoryBytes / callerMemoryPart);
    m_answerMemory.setBytes(m_settings.memoryBytes / answerMemoryPart);
    rlimit limit{};
    std::size_t descriptors = std::numeric_limits<std::size_t>::max();
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
        descriptors = limit.rlim_cur;
    if (m_settings.fileDescriptors > 0)
        descriptors = std::min(descriptors, m_settings.fileDescriptors);
    m_callerShare.maxConnections = descriptors - descriptors / ownDescriptorPart;
}

void Gateway::beginShutdown()
{
    if (m_shutdown)
        return;
    m_shutdown.emplace(now(), m_settings.shutdownGrace);
    m_fleet.setLeaving(now());
    m_limits.closesAfterAnswer = true;
    m_directoryLimits.closesAfterAnswer = true;
    m_replica->leave();
    logOpenRequests("process.leaving");
    report(now());
}

std::optional<Failure> Gateway::shutdownFailure(const AcceptedRequest &accepted) const
{
    if (!m_shutdown)
        return std::nullopt;
    const ExpectedWork work{accepted.work.deadline, m_durations.longest(accepted.route->name),
                            accepted.route->isStream()};
    if (m_shutdown->accepts(work, bootTimeNow()))
        return std::nullopt;
    return Failure{FailureType::ShuttingDown, false, leavingRetryAfter};
}

void Gateway::checkShutdown(Base::TimePoint time)
{
    if (!m_shutdown)
        return;
    if (!m_exchanges.empty() && m_shutdown->endsOpenRequests(time))
        endOpenRequests();
    const bool isQuiet = m_exchanges.empty() && m_callers->unwrittenAnswers() == 0;
    if (m_shutdown->isOver(isQuiet, time))
        m_io.stop();
}

void Gateway::endOpenRequests()
{
    logOpenRequests("process.requests_ended");
    std::vector<std::shared_ptr<Exchange>> open;
    open.reserve(m_exchanges.size());
    for (const auto &[id, exchange] : m_exchanges)
        open.push_back(exchange);
    // Requests that wait come first: otherwise they would be sent to the servers that become free.
    std::stable_partition(open.begin(), open.end(), [](const auto &it) { return !it->isSent(); });
    for (const auto &exchange : open)
        exchange->endForShutdown(leavingRetryAfter);
}

void Gateway::finishConnections()
{
    for (HttpListener *listener : {m_callers.get(), m_readiness.get(), m_discovery.get()})
        listener->finish();
}

void Gateway::logOpenRequests(const char *event)
{
    const Base::TimePoint time = now();
    std::size_t sent = 0;
    std::size_t streams = 0;
    Base::TimePoint oldest = time;
    Base::TimePoint newest = Base::TimePoint::min();
    for (const auto &[id, exchange] : m_exchanges) {
        sent += exchange->isSent() ? 1 : 0;
        streams += exchange->isStream() ? 1 : 0;
        oldest = std::min(oldest, exchange->readAt());
        newest = std::max(newest, exchange->readAt());
    }
    LogLine line(event);
    line.add("open", m_exchanges.size())
        .add("sent", sent)
        .add("streams", streams)
        .add("unwritten", m_callers->unwrittenAnswers());
    if (!m_exchanges.empty())
        line.add("oldestMs", time - oldest).add("newestMs", time - newest);
    m_log.write(line, time);
}

} // namespace Gateway
