#pragma once

#include "base/time.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <list>
#include <mutex>

namespace Base {

/// Holds memory for a peer, and can give it up.
class MemoryHolder
{
public:
    virtual ~MemoryHolder() = default;
    /// Frees the memory, since others need it. Called while another holder reserves, on its thread;
    /// must not call the budget. Returns whether the memory is free now; if not, the holder
    /// releases its reservation soon.
    virtual bool giveWay() = 0;
};

/// The memory that a process may hold for peers that it does not control, summed over all of them.
///
/// A limit for each request does not bound the sum, and the sum is what ends a process. If a
/// reservation does not fit, the holder gives way that has occupied most: its bytes multiplied by
/// the time that it has had them for. A peer that sends its request and gets on occupies little;
/// one that stops short of its end occupies more and more, and cannot keep others out. Large
/// reservations leave a part of the memory to small ones.
///
/// Thread-safe. A reservation waits for the memory of holders on other threads that give way.
class MemoryBudget
{
public:
    class Reservation;

    /// A reservation of more bytes than these is large.
    static constexpr std::size_t smallBytes = 16384;
    /// One part in so many is left to small reservations.
    static constexpr std::size_t smallPart = 8;

    explicit MemoryBudget(std::size_t bytes)
        : m_bytes(bytes)
    {}

    /// What is reserved beyond \a bytes is given up as others reserve, or returned in time.
    void setBytes(std::size_t bytes);
    std::size_t bytes() const;
    std::size_t usedBytes() const;
    /// How often a holder had to give way.
    std::uint64_t yields() const;
    /// How often a reservation did not fit.
    std::uint64_t refusals() const;

private:
    struct Entry
    {
        std::size_t bytes = 0;
        /// Null if the holder does not give way.
        MemoryHolder *holder = nullptr;
        TimePoint since;
        bool hasYielded = false;
    };

    bool resize(std::unique_lock<std::mutex> &lock, Entry &entry, std::size_t bytes, TimePoint now);
    void makeYield(Entry &entry);
    void release(const Entry &entry);
    /// The entry that occupies more than \a own would with \a ownBytes, and most of all; null if
    /// there is none.
    Entry *mostOccupying(const Entry &own, std::size_t ownBytes, TimePoint now);

    mutable std::mutex m_mutex;
    std::condition_variable m_released;
    std::list<Entry> m_entries;
    std::size_t m_bytes;
    std::size_t m_usedBytes = 0;
    /// Those of the used bytes whose holders have yielded, but not freed them yet.
    std::size_t m_yieldedBytes = 0;
    std::uint64_t m_yields = 0;
    std::uint64_t m_refusals = 0;
};

/// Bytes of a budget, which return to it with the reservation. A default-constructed reservation
/// belongs to no budget and is always granted.
class MemoryBudget::Reservation
{
public:
    Reservation() = default;
    /// \a holder gives way until keep() is called. \a since is when it began to occupy memory. Both
    /// \a budget and \a holder must outlive the reservation.
    Reservation(MemoryBudget &budget, MemoryHolder &holder, TimePoint since);
    Reservation(Reservation &&other) noexcept;
    Reservation &operator=(Reservation &&other) noexcept;
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;
    ~Reservation() { release(); }

    /// Reserves \a bytes in all. Fails without a change if they do not fit; a smaller size always
    /// does.
    bool resize(std::size_t bytes, TimePoint now);
    /// From now on the holder does not give way, and any other one gives way to it: its request is
    /// whole and is about to be handled.
    void keep();
    void release();
    bool isEmpty() const { return !m_budget; }
    std::size_t bytes() const;

private:
    MemoryBudget *m_budget = nullptr;
    std::list<Entry>::iterator m_entry;
};

} // namespace Base
