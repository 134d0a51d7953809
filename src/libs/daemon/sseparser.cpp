#include "daemon/sseparser.h"

#include <utility>

namespace Daemon {

SseParser::SseParser(std::size_t maxEventBytes)
    : m_maxEventBytes(maxEventBytes)
{}

Base::Result<void> SseParser::feed(std::string_view bytes, std::vector<SseEvent> &events)
{
    for (const char it : bytes) {
        // CR, LF and CRLF each end one line. A CRLF may be divided between two calls.
        const bool isCrlfLineFeed = it == '\n' && m_wasCarriageReturn;
        m_wasCarriageReturn = it == '\r';
        if (isCrlfLineFeed)
            continue;
        if (it == '\n' || it == '\r') {
            processLine(events);
            continue;
        }
        m_line += it;
        if (m_line.size() + m_event.data.size() > m_maxEventBytes)
            return boost::leaf::new_error(EventTooLarge{m_maxEventBytes});
    }
    return {};
}

void SseParser::processLine(std::vector<SseEvent> &events)
{
    const std::string line = std::exchange(m_line, {});
    if (line.empty()) {
        if (m_hasData)
            events.push_back(std::move(m_event));
        m_event = {};
        m_hasData = false;
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = std::string_view(line).substr(0, colon);
    std::string_view value;
    if (colon != std::string::npos)
        value = std::string_view(line).substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "event")
        m_event.name = value;
    if (field == "id")
        m_event.id = value;
    if (field != "data")
        return;
    if (m_hasData)
        m_event.data += '\n';
    m_event.data += value;
    m_hasData = true;
}

} // namespace Daemon
