#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/eventlog.h"

#include <cstddef>
#include <map>
#include <optional>

namespace Gateway {

/// What a line about the load tells beside the counts.
struct LoadSample
{
    /// Processor time of this process since its start.
    Base::Duration processorTime{};
    double costFactor = 1;
    /// Of the service whose share is lowest; empty if none is shared.
    std::optional<double> shareLevel;
    std::optional<double> unmetLevel;
    /// Of the newest report of another host; empty if there is none.
    std::optional<Base::Duration> reportAge;
};

/// Counts what a host did in the last second, for a line of the log: which hosts are behind, and
/// whose streams they pass over, stands in no other line when many are dropped.
class HostLoadCounter
{
public:
    void addRequest() { ++m_requests; }
    void addRefusal() { ++m_refusals; }
    void addEvents(std::size_t count) { m_events += count; }
    void addShedStream(const Base::CustomerId &customer);
    /// There was work from \a since on, or longer, and none is left at \a now.
    void addBusy(Base::TimePoint since, Base::TimePoint now);
    /// Time since the start in which there was work.
    Base::Duration busyTime() const { return m_busy; }
    /// The line, once a second while there is load; empty otherwise.
    std::optional<LogLine> line(const LoadSample &sample, Base::TimePoint now);
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
