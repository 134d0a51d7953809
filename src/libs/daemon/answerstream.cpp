#include "daemon/answerstream.h"

#include "daemon/failuretext.h"
#include "daemon/ssewriter.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <ulfius.h>

namespace Daemon {

AnswerStream::AnswerStream(std::shared_ptr<CallerSession> session, AnswerFraming framing,
                           ClosedHandler closed)
    : m_session(std::move(session))
    , m_framing(framing)
    , m_closed(std::move(closed))
{}

AnswerStream::~AnswerStream()
{
    m_closed(*m_session);
}

ssize_t AnswerStream::read(char *buf, std::size_t size)
{
    while (m_offset == m_pending.size() && !m_isEnded && !m_isAborted)
        refill();
    if (m_offset == m_pending.size())
        return m_isAborted ? U_STREAM_ERROR : U_STREAM_END;
    const std::size_t n = std::min(size, m_pending.size() - m_offset);
    std::memcpy(buf, m_pending.data() + m_offset, n);
    m_offset += n;
    return static_cast<ssize_t>(n);
}

void AnswerStream::refill()
{
    m_pending.clear();
    m_offset = 0;
    const std::optional<SessionItem> item = m_session->take();
    if (item)
        appendItem(*item);
    else
        m_isAborted = true;
}

void AnswerStream::appendItem(const SessionItem &item)
{
    const bool isEvents = m_framing == AnswerFraming::Events;
    if (const auto *part = std::get_if<Node::AnswerPart>(&item)) {
        m_pending = isEvents ? sseEvent(part->payload) : part->payload;
        return;
    }
    if (std::holds_alternative<AnswerFinished>(item)) {
        if (isEvents)
            m_pending = sseEvent(doneMarker);
        m_isEnded = true;
        return;
    }
    const auto *failure = std::get_if<Node::Failure>(&item);
    if (!failure)
        return;
    if (isEvents) {
        m_pending = sseEvent("error", failureBody(*failure));
        m_isEnded = true;
        return;
    }
    // A plain body cannot carry an error. Only its missing end shows that the answer failed.
    m_isAborted = true;
}

} // namespace Daemon
