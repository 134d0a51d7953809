#include "base/memorybudget.h"

#include <chrono>
#include <utility>

namespace Base {

namespace {

/// How long a reservation waits for memory that its holder frees on another thread.
constexpr Duration maxYieldTime = std::chrono::seconds(1);

/// Bytes multiplied by the seconds for which they have been held.
double occupancy(std::size_t bytes, TimePoint since, TimePoint now)
{
    return static_cast<double>(bytes) * std::chrono::duration<double>(now - since).count();
}

} // namespace

void MemoryBudget::setBytes(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_bytes = bytes;
}

std::size_t MemoryBudget::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes;
}

std::size_t MemoryBudget::usedBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_usedBytes;
}

std::uint64_t MemoryBudget::yields() const
{
    const std::lock_guard lock(m_mutex);
    return m_yields;
}

std::uint64_t MemoryBudget::refusals() const
{
    const std::lock_guard lock(m_mutex);
    return m_refusals;
}

bool MemoryBudget::resize(std::unique_lock<std::mutex> &lock, Entry &entry, std::size_t bytes,
                          TimePoint now)
{
    const std::size_t limit = bytes > smallBytes ? m_bytes - m_bytes / smallPart : m_bytes;
    while (bytes > entry.bytes && m_usedBytes - entry.bytes + bytes > limit) {
        bool isPossible = !entry.hasYielded && bytes <= limit;
        if (isPossible && m_usedBytes - entry.bytes + bytes - m_yieldedBytes <= limit) {
            isPossible = m_released.wait_for(lock, maxYieldTime) != std::cv_status::timeout;
        } else if (isPossible) {
            Entry *victim = mostOccupying(entry, bytes, now);
            isPossible = victim != nullptr;
            if (victim)
                makeYield(*victim);
        }
        if (!isPossible) {
            ++m_refusals;
            return false;
        }
    }
    if (entry.hasYielded)
        return bytes <= entry.bytes;
    m_usedBytes += bytes - entry.bytes;
    entry.bytes = bytes;
    return true;
}

void MemoryBudget::makeYield(Entry &entry)
{
    ++m_yields;
    entry.hasYielded = true;
    if (std::exchange(entry.holder, nullptr)->giveWay())
        m_usedBytes -= std::exchange(entry.bytes, 0);
    else
        m_yieldedBytes += entry.bytes;
}

void MemoryBudget::release(const Entry &entry)
{
    m_usedBytes -= entry.bytes;
    if (entry.hasYielded)
        m_yieldedBytes -= entry.bytes;
    m_released.notify_all();
}

MemoryBudget::Entry *MemoryBudget::mostOccupying(const Entry &own, std::size_t ownBytes,
                                                 TimePoint now)
{
    Entry *most = nullptr;
    double occupied = own.holder ? occupancy(ownBytes, own.since, now) : 0;
    for (Entry &it : m_entries) {
        if (&it == &own || !it.holder || it.bytes == 0)
            continue;
        const double other = occupancy(it.bytes, it.since, now);
        if (other <= occupied)
            continue;
        occupied = other;
        most = &it;
    }
    return most;
}

MemoryBudget::Reservation::Reservation(MemoryBudget &budget, MemoryHolder &holder, TimePoint since)
    : m_budget(&budget)
{
    const std::lock_guard lock(budget.m_mutex);
    m_entry = budget.m_entries.insert(budget.m_entries.end(), {0, &holder, since});
}

MemoryBudget::Reservation::Reservation(Reservation &&other) noexcept
    : m_budget(std::exchange(other.m_budget, nullptr))
    , m_entry(other.m_entry)
{}

MemoryBudget::Reservation &MemoryBudget::Reservation::operator=(Reservation &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_budget = std::exchange(other.m_budget, nullptr);
    m_entry = other.m_entry;
    return *this;
}

bool MemoryBudget::Reservation::resize(std::size_t bytes, TimePoint now)
{
    if (!m_budget)
        return true;
    std::unique_lock lock(m_budget->m_mutex);
    return m_budget->resize(lock, *m_entry, bytes, now);
}

void MemoryBudget::Reservation::keep()
{
    if (!m_budget)
        return;
    const std::lock_guard lock(m_budget->m_mutex);
    m_entry->holder = nullptr;
}

void MemoryBudget::Reservation::release()
{
    if (!m_budget)
        return;
    MemoryBudget &budget = *std::exchange(m_budget, nullptr);
    const std::lock_guard lock(budget.m_mutex);
    budget.release(*m_entry);
    budget.m_entries.erase(m_entry);
}

std::size_t MemoryBudget::Reservation::bytes() const
{
    if (!m_budget)
        return 0;
    const std::lock_guard lock(m_budget->m_mutex);
    return m_entry->bytes;
}

} // namespace Base
