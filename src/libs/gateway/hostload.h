#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/eventlog.h"
#include "routing/customershares.h"

#include <cstddef>
#include <map>
#include <optional>

namespace Gateway {

/// What a host load line of the log shows in addition to the counts.
struct LoadSample
{
    /// Processor time of this process since its start.
    Base::Duration processorTime{};
    double costFactor = 1;
    /// The highest pace of the servers (Routing::ServerPace).
    double slowestPace = 1;
    /// Lowest share level and lowest unmet level of all services with inference engines, in tokens;
    /// empty if there is none (Routing::CustomerShares).
    std::optional<double> shareLevel;
    std::optional<double> unmetLevel;
    /// The customer that has the unmet level.
    Base::CustomerId unmetCustomer;
    /// The customer that asked this host for most; empty if none did recently.
    std::optional<Routing::CustomerSample> largestCustomer;
    /// Age of the newest report of another host; empty if there is none.
    std::optional<Base::Duration> reportAge;
};

/// Returns the processor time of this process since its start.
Base::Duration processCpuTime();

/// Counts this host's work of the last second for a line of the log. When a host is overloaded and
/// request lines are dropped, no other line shows whose streams it rejects.
class HostLoadCounter
{
public:
    void addRequest() { ++m_requests; }
    void addRefusal() { ++m_refusals; }
    void addEvents(std::size_t count) { m_events += count; }
    /// Counts a stream of \a customer that this host rejected because it is overloaded.
    void addShedStream(const Base::CustomerId &customer);
    /// Adds the time from \a since to \a now, in which there was work.
    void addBusy(Base::TimePoint since, Base::TimePoint now);
    /// Returns the time since the start in which there was work.
    Base::Duration busyTime() const { return m_busy; }
    /// Returns a line at most once a second, and only if something was counted; empty otherwise.
    std::optional<LogLine> line(const LoadSample &sample, Base::TimePoint now);
    /// Whether the last line is at least a second old.
    bool isDue(Base::TimePoint now) const;

private:
    void clear(const LoadSample &sample, Base::TimePoint now);

    std::size_t m_requests = 0;
    std::size_t m_refusals = 0;
    std::size_t m_events = 0;
    std::map<Base::CustomerId, std::size_t> m_shedStreams;
    Base::Duration m_busy{};
    Base::Duration m_loggedBusy{};
    Base::Duration m_loggedProcessorTime{};
    Base::TimePoint m_loggedAt{};
};

} // namespace Gateway
