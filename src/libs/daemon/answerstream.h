#pragma once

#include "daemon/callersession.h"
#include "daemon/callersessions.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <sys/types.h>

namespace Daemon {

/// Framing of an answer that is sent piece by piece.
enum class AnswerFraming {
    Events, ///< Server-sent events, the last of which is [DONE].
    Bytes,  ///< The unchanged body of a service's answer.
};

/// Passes an answer after its head to the HTTP library piece by piece, on the connection's thread.
/// The destructor closes the session.
class AnswerStream
{
public:
    using ClosedHandler = std::function<void(const CallerSession &)>;

    AnswerStream(std::shared_ptr<CallerSession> session, AnswerFraming framing,
                 ClosedHandler closed);
    ~AnswerStream();

    /// Waits for bytes of the answer and copies at most \a size of them to \a buf. Returns their
    /// number, U_STREAM_END at the end of the answer, or U_STREAM_ERROR if it failed.
    /// U_STREAM_ERROR closes the connection without a proper end, so that a caller cannot mistake a
    /// part of the answer for the whole.
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
