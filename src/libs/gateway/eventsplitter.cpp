#include "gateway/eventsplitter.h"

#include <algorithm>
#include <charconv>

namespace Gateway {

namespace {

constexpr std::string_view idField = "id:";

/// End of the first event in \a text, or npos: an empty line, with either kind of line end.
std::size_t endOfEvent(std::string_view text)
{
    const std::size_t bare = text.find("\n\n");
    const std::size_t full = text.find("\r\n\r\n");
    if (bare == std::string_view::npos && full == std::string_view::npos)
        return std::string_view::npos;
    if (full < bare)
        return full + 4;
    return bare + 2;
}

std::optional<std::uint64_t> idOf(std::string_view event)
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
    CompleteEvents whole;
    m_rest.append(data);
    std::string_view left = m_rest;
    for (std::size_t end = endOfEvent(left); end != std::string_view::npos;
         end = endOfEvent(left)) {
        take(left.substr(0, end), whole);
        left.remove_prefix(end);
    }
    m_rest.erase(0, m_rest.size() - left.size());
    return whole;
}

void EventSplitter::take(std::string_view event, CompleteEvents &whole)
{
    const std::optional<std::uint64_t> id = idOf(event);
    if (id && m_lastId && *id <= *m_lastId)
        return;
    if (id)
        m_lastId = id;
    whole.text.append(event);
    ++whole.count;
}

} // namespace Gateway
