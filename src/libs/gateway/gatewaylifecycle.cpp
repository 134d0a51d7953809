// Signals, changes of the settings file and the shutdown of a gateway.

#include "gateway/boottime.h"
#include "gateway/gateway.h"

#include <algorithm>
#include <csignal>

namespace Gateway {

namespace {

/// Shares of the shutdown grace, counted from SIGTERM. From the first one on, requests that may
/// take long are sent to other hosts. At the second one the process stops, before it would be
/// killed.
constexpr double longWorkCutoffShare = 0.35;
constexpr double forcedStopShare = 0.9;
/// From this share of the shutdown grace on, a process without open requests stops. Before that,
/// callers may still use an entry list that names this host.
constexpr double idleStopShare = 0.65;

Base::Duration fractionOf(Base::Duration whole, double share)
{
    return std::chrono::duration_cast<Base::Duration>(whole * share);
}

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
    m_replica->applySettings(m_settings);
    m_log.setRequestLineLimit(settings.requestLinesPerSecond);
    m_services->retryAllowanceChanged(settings.retries);
}

void Gateway::beginShutdown()
{
    if (m_leavingSince)
        return;
    m_leavingSince = now();
    m_fleet.setLeaving(now());
    m_limits.closesAfterAnswer = true;
    m_directoryLimits.closesAfterAnswer = true;
    m_replica->leave();
    logOpenRequests("process.leaving");
    report(now());
}

void Gateway::checkShutdown(Base::TimePoint time)
{
    if (!m_leavingSince)
        return;
    const Base::Duration age = time - *m_leavingSince;
    const bool isQuiet =
        m_exchanges.empty() && age >= fractionOf(m_settings.shutdownGrace, idleStopShare);
    if (isQuiet || age >= fractionOf(m_settings.shutdownGrace, forcedStopShare))
        m_io.stop();
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

bool Gateway::isLeavingSoon() const
{
    return m_leavingSince
           && bootTimeNow() - *m_leavingSince
                  >= fractionOf(m_settings.shutdownGrace, longWorkCutoffShare);
}

} // namespace Gateway
