#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// Whole events taken out of a stream's bytes.
struct CompleteEvents
{
    std::string text;
    std::size_t count = 0;
};

/// Cuts the bytes of a text/event-stream at the ends of events.
///
/// A server that crashes may stop in the middle of an event. Only whole events are passed on, so
/// that another server can go on right after the last one that the caller has. Events that the
/// caller already has (an id that is not larger) are left out.
class EventSplitter
{
public:
    /// \a lastId is the last event that the caller has, if it goes on with a stream.
    explicit EventSplitter(std::optional<std::uint64_t> lastId = std::nullopt)
        : m_lastId(lastId)
    {}

    CompleteEvents push(std::string_view data);
    /// Forgets a half event: another server begins with the next whole one.
    void discardPartialEvent() { m_rest.clear(); }

    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    bool hasPartialEvent() const { return !m_rest.empty(); }

private:
    void take(std::string_view event, CompleteEvents &whole);

    std::string m_rest;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace Gateway
