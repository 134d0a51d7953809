#pragma once

#include "base/time.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Base {

/// A bounded first-in, first-out ring that joins two threads of the daemon.
///
/// Guards against unbounded memory when the reader is slower than the writers: a full ring
/// makes push() wait and tryPush() fail, so the load is seen where it arises.
template <typename T>
class BoundedRing
{
public:
    /// \a capacity is in elements and at least 1.
    explicit BoundedRing(std::size_t capacity)
        : m_slots(capacity == 0 ? 1 : capacity)
    {}

    /// Waits while the ring is full. Returns false once the ring is closed.
    bool push(T value)
    {
        std::unique_lock lock(m_mutex);
        m_notFull.wait(lock, [this] { return m_closed || m_count < m_slots.size(); });
        if (m_closed)
            return false;
        place(std::move(value));
        return true;
    }

    /// Returns false when the ring is full or closed; \a value is then unchanged.
    bool tryPush(T &value)
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_count == m_slots.size())
            return false;
        place(std::move(value));
        return true;
    }

    /// Waits at most \a limit. Empty after the limit, or once closed and drained.
    std::optional<T> popFor(Duration limit)
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait_for(lock, limit, [this] { return m_closed || m_count > 0; });
        if (m_count == 0)
            return std::nullopt;
        std::optional<T> value(std::move(*m_slots[m_head]));
        m_slots[m_head].reset();
        m_head = (m_head + 1) % m_slots.size();
        --m_count;
        m_notFull.notify_one();
        return value;
    }

    /// Wakes every waiter. What is in the ring can still be popped.
    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        m_notEmpty.notify_all();
        m_notFull.notify_all();
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_count;
    }

    bool isClosed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

private:
    void place(T &&value)
    {
        m_slots[(m_head + m_count) % m_slots.size()].emplace(std::move(value));
        ++m_count;
        m_notEmpty.notify_one();
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::condition_variable m_notFull;
    std::vector<std::optional<T>> m_slots;
    std::size_t m_head = 0;
    std::size_t m_count = 0;
    bool m_closed = false;
};

} // namespace Base
