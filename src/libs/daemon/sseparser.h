#pragma once

#include "base/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

/// One server-sent event; a field that is absent is empty.
struct SseEvent
{
    std::string name;
    std::string id;
    std::string data;

    bool operator==(const SseEvent &) const = default;
};

/// An event is longer than the parser allows.
struct EventTooLarge
{
    std::size_t limit = 0;
};

/// Splits a byte stream into server-sent events, regardless of how the stream is divided into
/// pieces.
class SseParser
{
public:
    explicit SseParser(std::size_t maxEventBytes);

    /// Appends the events that \a bytes completes to \a events. Fails with EventTooLarge; the
    /// parser must not be used after that. Safe for any input.
    Base::Result<void> feed(std::string_view bytes, std::vector<SseEvent> &events);

private:
    void processLine(std::vector<SseEvent> &events);

    std::size_t m_maxEventBytes;
    std::string m_line;
    SseEvent m_event;
    bool m_hasData = false;
    bool m_wasCarriageReturn = false;
};

} // namespace Daemon
