#include "gateway/eventlog.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>

namespace Gateway {

namespace {

/// Lines that wait for a reader; about a thousand.
constexpr std::size_t mostBuffered = 256U << 10;
/// Failures have an allowance of this many times as many lines besides: they are what somebody will
/// ask about.
constexpr unsigned failureFactor = 2;

void appendEscaped(std::string &text, std::string_view value)
{
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text.push_back('\\');
            text.push_back(c);
            continue;
        }
        if (static_cast<unsigned char>(c) < 0x20) {
            char escaped[8];
            std::snprintf(escaped, sizeof(escaped), "\\u%04x", static_cast<unsigned>(c));
            text.append(escaped);
            continue;
        }
        text.push_back(c);
    }
}

/// Time of day with milliseconds, for people who compare hosts.
std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<Base::Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

LogLine::LogLine(std::string_view event)
{
    m_text = "{\"atMs\":" + std::to_string(wallMilliseconds());
    add("event", event);
}

LogLine &LogLine::add(std::string_view name, std::string_view value)
{
    m_text.append(",\"").append(name).append("\":\"");
    appendEscaped(m_text, value);
    m_text.push_back('"');
    return *this;
}

LogLine &LogLine::add(std::string_view name, bool value)
{
    return addRaw(name, value ? "true" : "false");
}

LogLine &LogLine::add(std::string_view name, double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", value);
    return addRaw(name, text);
}

LogLine &LogLine::add(std::string_view name, Base::Duration value)
{
    return add(name, static_cast<std::int64_t>(
                         std::chrono::duration_cast<Base::Milliseconds>(value).count()));
}

LogLine &LogLine::addRaw(std::string_view name, std::string_view value)
{
    m_text.append(",\"").append(name).append("\":").append(value);
    return *this;
}

EventLog::EventLog(int descriptor, unsigned requestLinesPerSecond)
    : m_descriptor(descriptor)
    , m_requestLinesPerSecond(requestLinesPerSecond)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::write(const LogLine &line, Base::TimePoint now)
{
    append(line, now);
}

bool EventLog::tryAcquireRequestLine(bool isFailure, Base::TimePoint now)
{
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_linesThisSecond = 0;
    }
    const unsigned limit = m_requestLinesPerSecond * (isFailure ? 1 + failureFactor : 1);
    if (m_linesThisSecond >= limit) {
        ++m_dropped;
        return false;
    }
    ++m_linesThisSecond;
    return true;
}

void EventLog::append(const LogLine &line, Base::TimePoint)
{
    const std::string text = line.text();
    if (m_buffer.size() + text.size() > mostBuffered) {
        ++m_dropped;
        return;
    }
    noteDropped();
    m_buffer.append(text);
}

void EventLog::noteDropped()
{
    if (m_dropped == m_droppedTold)
        return;
    m_buffer.append(LogLine("log.dropped").add("lines", m_dropped - m_droppedTold).text());
    m_droppedTold = m_dropped;
}

void EventLog::flush()
{
    if (m_buffer.empty())
        return;
    const ssize_t n = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
    // Nobody reads at the moment, or ever again: the buffer keeps the newest lines that fit.
    if (n > 0)
        m_buffer.erase(0, static_cast<std::size_t>(n));
}

} // namespace Gateway
