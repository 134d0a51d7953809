#pragma once

#include "base/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

struct SseEvent
{
    std::string name;
    std::string id;
    std::string data;

    bool operator==(const SseEvent &) const = default;
};

/// An event is longer than the reader allows.
struct EventTooLarge
{
    std::size_t limit = 0;
};

/// Cuts a byte stream into server-sent events, however the bytes are split on their way.
class SseParser
{
public:
    explicit SseParser(std::size_t maxEventBytes);

    /// Adds the events that \a bytes completes to \a events. Fails with EventTooLarge; the
    /// parser is then of no further use. Any bytes are safe.
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
