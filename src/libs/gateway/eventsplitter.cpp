#include "gateway/eventsplitter.h"

#include "gateway/answerfault.h"

#include <algorithm>
#include <charconv>

namespace Gateway {

namespace {

constexpr std::string_view idField = "id:";

/// Returns the position after the first event in \a text, which ends with an empty line of either
/// kind of line end; npos if no event is complete. It does not end within the first \a searched
/// bytes.
std::size_t endOfEvent(std::string_view text, std::size_t searched)
{
    for (std::size_t at = text.find('\n', searched); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        const std::string_view before = text.substr(0, at);
        if (before.ends_with("\n") || before.ends_with("\r\n\r"))
            return at + 1;
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [ptr, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

CompleteEvents EventSplitter::push(std::string_view data)
{
    CompleteEvents complete;
    if (m_isEventTooLong)
        return complete;
    m_partialEvent.append(data);
    std::string_view remaining = m_partialEvent;
    std::size_t end = endOfEvent(remaining, m_searched);
    while (end != std::string_view::npos && end <= maxEventBytes) {
        appendEvent(remaining.substr(0, end), complete);
        remaining.remove_prefix(end);
        end = endOfEvent(remaining, 0);
    }
    if (remaining.size() > maxEventBytes) {
        m_isEventTooLong = true;
        remaining = {};
    }
    m_searched = remaining.size();
    m_partialEvent.erase(0, m_partialEvent.size() - remaining.size());
    return complete;
}

void EventSplitter::appendEvent(std::string_view event, CompleteEvents &complete)
{
    const std::optional<std::uint64_t> id = eventId(event);
    if (id && m_lastId && *id <= *m_lastId)
        return;
    if (id)
        m_lastId = id;
    complete.text.append(event);
    ++complete.count;
}

} // namespace Gateway
