#pragma once

#include "daemon/callersession.h"
#include "daemon/callersessions.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <sys/types.h>

namespace Daemon {

/// How an answer that is sent piece by piece is framed.
enum class AnswerFraming {
    Events, ///< Server-sent events with a final [DONE].
    Bytes,  ///< The body of a service's answer as it came.
};

/// What is left of an answer after its head, handed to the HTTP library piece by piece on the
/// connection's thread. Its end closes the session.
class AnswerStream
{
public:
    using ClosedHandler = std::function<void(const CallerSession &)>;

    AnswerStream(std::shared_ptr<CallerSession> session, AnswerFraming framing,
                 ClosedHandler closed);
    ~AnswerStream();

    /// Waits for bytes and puts at most \a size of them at \a buf. Returns their number,
    /// U_STREAM_END, or U_STREAM_ERROR, which cuts the connection so that a caller cannot take
    /// the part for the whole.
    ssize_t read(char *buf, std::size_t size);

private:
    void refill();
    void appendItem(const SessionItem &item);

    std::shared_ptr<CallerSession> m_session;
    AnswerFraming m_framing;
    ClosedHandler m_closed;
    std::string m_pending;
    std::size_t m_offset = 0;
    bool m_isEnded = false;
    bool m_isAborted = false;
};

} // namespace Daemon
