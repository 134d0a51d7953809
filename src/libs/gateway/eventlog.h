#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace Gateway {

/// Builds one structured line of the log: a JSON object with the time, the event and its fields.
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &add(std::string_view name, std::string_view value);
    LogLine &add(std::string_view name, const char *value)
    {
        return add(name, std::string_view(value));
    }
    LogLine &add(std::string_view name, bool value);
    LogLine &add(std::string_view name, double value);
    template <typename Number>
    requires(std::is_integral_v<Number> && !std::is_same_v<Number, bool>) LogLine &add(
        std::string_view name, Number value)
    {
        return addRaw(name, std::to_string(value));
    }
    /// Adds \a value in milliseconds.
    LogLine &add(std::string_view name, Base::Duration value);

    std::string text() const { return m_text + "}\n"; }

private:
    LogLine &addRaw(std::string_view name, std::string_view value);

    std::string m_text;
};

/// The process's log of JSON lines on a file descriptor.
///
/// Writing never blocks. Lines go into a bounded buffer and from there to the descriptor as far as
/// it accepts them at once. While the reader is stopped, lines are dropped and counted, and
/// requests are still served. The number of lines about requests per second is limited.
class EventLog
{
public:
    /// \a requestLinesPerSecond limits the lines about requests; failed requests have twice as many
    /// in addition. A host with a quarter of a core serves about 50 requests a second under its
    /// usual load.
    EventLog(int descriptor, unsigned requestLinesPerSecond);

    void setRequestLineLimit(unsigned perSecond) { m_requestLinesPerSecond = perSecond; }
    /// Writes a line to which no limit per second applies; it is dropped only if the buffer is
    /// full. Used for events that change the state of the process.
    void write(const LogLine &line, Base::TimePoint now);
    /// Counts one line about a request against the limit per second, which is larger for failures.
    /// Returns false if the limit is reached; the line then counts as dropped and need not be
    /// built, which would take about a tenth of the processor time of a refused request.
    bool tryAcquireRequestLine(bool isFailure, Base::TimePoint now);
    /// Writes as much of the buffer as the descriptor accepts. Must be called often.
    void flush();

    std::uint64_t dropped() const { return m_dropped; }

private:
    void append(const LogLine &line, Base::TimePoint now);
    void reportDropped();

    int m_descriptor;
    unsigned m_requestLinesPerSecond;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
    Base::TimePoint m_second;
    unsigned m_linesThisSecond = 0;
};

} // namespace Gateway
