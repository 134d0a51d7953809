#pragma once

#include "base/time.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Base {

/// A bounded, blocking FIFO queue between threads, stored in a ring buffer.
///
/// It bounds the memory if the reader is slower than the writers: when the ring is full, push()
/// blocks and tryPush() fails, which applies backpressure to the writers.
template <typename T>
class BoundedRing
{
public:
    /// \a capacity is in elements; 0 counts as 1.
    explicit BoundedRing(std::size_t capacity)
        : m_slots(capacity == 0 ? 1 : capacity)
    {}

    /// Appends \a value; waits while the ring is full. Returns false once the ring is closed.
    bool push(T value)
    {
        std::unique_lock lock(m_mutex);
        m_notFull.wait(lock, [this] { return m_closed || m_count < m_slots.size(); });
        if (m_closed)
            return false;
        append(std::move(value));
        return true;
    }

    /// Appends \a value without waiting. Returns false if the ring is full or closed; \a value is
    /// then unchanged.
    bool tryPush(T &value)
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_count == m_slots.size())
            return false;
        append(std::move(value));
        return true;
    }

    /// Removes the first element; waits at most \a limit for one. Returns nothing after the limit
    /// or if the ring is closed and empty.
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

    /// Closes the ring and wakes every waiting thread. Elements in the ring can still be popped.
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
    /// Appends \a value; the caller holds the lock and has checked that there is room.
    void append(T &&value)
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
