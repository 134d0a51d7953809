#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace Gateway {

/// One structured line of the log: a JSON object.
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
    /// In milliseconds.
    LogLine &add(std::string_view name, Base::Duration value);

    std::string text() const { return m_text + "}\n"; }

private:
    LogLine &addRaw(std::string_view name, std::string_view value);

    std::string m_text;
};

/// The process's log on standard output, as JSON lines.
///
/// Writing never waits. Lines go into a bounded buffer and from there to standard output as far as
/// that takes them at once; when a reader has stopped, lines are dropped and counted, and requests
/// are served on. Whole requests are left out past a number of lines a second.
class EventLog
{
public:
    /// \a requestLinesPerSecond of requests, and twice as many of failures besides. A host of a
    /// quarter core serves about fifty requests a second on an ordinary day.
    EventLog(int descriptor, unsigned requestLinesPerSecond);

    void setRequestLineLimit(unsigned perSecond) { m_requestLinesPerSecond = perSecond; }
    /// Always kept while the buffer has room: what changes what the process believes.
    void write(const LogLine &line, Base::TimePoint now);
    /// Takes a line of a request off its allowance; \a isFailure has a larger one. False if there
    /// is none left: the line is counted as dropped and need not be made, which would cost about
    /// a tenth of a refused request.
    bool tryAcquireRequestLine(bool isFailure, Base::TimePoint now);
    /// Passes on what the reader takes; call it often.
    void flush();

    std::uint64_t dropped() const { return m_dropped; }

private:
    void append(const LogLine &line, Base::TimePoint now);
    void noteDropped();

    int m_descriptor;
    unsigned m_requestLinesPerSecond;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTold = 0;
    Base::TimePoint m_second;
    unsigned m_linesThisSecond = 0;
};

} // namespace Gateway
