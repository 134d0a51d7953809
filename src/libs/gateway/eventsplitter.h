#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// The complete events found in a stream's bytes.
struct CompleteEvents
{
    std::string text;
    std::size_t count = 0;
};

/// Splits the bytes of a text/event-stream into events.
///
/// A server that crashes may stop in the middle of an event. Only complete events are forwarded, so
/// that another server can resume right after the last event that the caller has received. Events
/// that the caller has already received, whose id is not larger than the last one, are left out.
class EventSplitter
{
public:
    /// \a lastId is the id of the last event that the caller has received, if it resumes a stream.
    explicit EventSplitter(std::optional<std::uint64_t> lastId = std::nullopt)
        : m_lastId(lastId)
    {}

    /// Adds \a data and returns the events that it completes. After an event that is larger than
    /// maxEventBytes, whole or not, no more events are returned and nothing is kept.
    CompleteEvents push(std::string_view data);
    /// Discards an incomplete event, since another server starts with a complete one.
    void discardPartialEvent()
    {
        m_partialEvent.clear();
        m_searched = 0;
    }

    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    /// Whether an event was larger than maxEventBytes.
    bool isEventTooLong() const { return m_isEventTooLong; }

private:
    void appendEvent(std::string_view event, CompleteEvents &complete);

    std::string m_partialEvent;
    /// The bytes of the incomplete event in which no end was found.
    std::size_t m_searched = 0;
    bool m_isEventTooLong = false;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace Gateway
