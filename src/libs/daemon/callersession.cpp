#include "daemon/callersession.h"

namespace Daemon {

namespace {

std::size_t sizeOf(const SessionItem &item)
{
    const auto *part = std::get_if<Node::AnswerPart>(&item);
    return part ? part->payload.size() : 0;
}

bool isFinal(const SessionItem &item)
{
    return !std::holds_alternative<Node::AnswerHead>(item)
           && !std::holds_alternative<Node::AnswerPart>(item);
}

} // namespace

CallerSession::CallerSession(Node::CallerId id, std::size_t bufferLimit, EventRing &ring)
    : m_id(id)
    , m_bufferLimit(bufferLimit)
    , m_ring(ring)
{}

bool CallerSession::put(SessionItem item)
{
    const std::lock_guard lock(m_mutex);
    if (m_isHungUp)
        return false;
    m_bufferedBytes += sizeOf(item);
    m_items.push_back(std::move(item));
    m_notEmpty.notify_one();
    if (m_isBlocked || m_bufferedBytes <= m_bufferLimit)
        return false;
    m_isBlocked = true;
    return true;
}

std::optional<SessionItem> CallerSession::take()
{
    std::optional<SessionItem> item;
    bool isUnblocked = false;
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait(lock, [this] { return m_isHungUp || !m_items.empty(); });
        if (m_isHungUp)
            return std::nullopt;
        item = std::move(m_items.front());
        m_items.pop_front();
        m_bufferedBytes -= sizeOf(*item);
        m_isEnded = isFinal(*item);
        isUnblocked = m_isBlocked && m_bufferedBytes <= m_bufferLimit / 2;
        if (isUnblocked)
            m_isBlocked = false;
    }
    // Pushes after the lock is released: the ring may be full, and the core must be able to lock
    // this session while it empties the ring.
    if (isUnblocked)
        m_ring.push(Node::CallerUnblocked{m_id});
    return item;
}

void CallerSession::hangUp()
{
    const std::lock_guard lock(m_mutex);
    m_isHungUp = true;
    m_items.clear();
    m_bufferedBytes = 0;
    m_notEmpty.notify_all();
}

bool CallerSession::isHungUp() const
{
    const std::lock_guard lock(m_mutex);
    return m_isHungUp;
}

bool CallerSession::isEnded() const
{
    const std::lock_guard lock(m_mutex);
    return m_isEnded;
}

std::size_t CallerSession::bufferedBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_bufferedBytes;
}

} // namespace Daemon
