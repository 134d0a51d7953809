#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <limits>
#include <map>
#include <optional>

namespace Routing {

/// Finds the customer that lacks service most, from the sums of the fleet over about two seconds
/// (DecayingSum).
///
/// A customer lacks service if servers began clearly less for it than it asked for, in the sums and
/// also in the last second, for some time without a break. The sums alone would not do: a flood
/// that has ended stays in them for seconds, and the amount that was begun for its customer shrinks
/// meanwhile although nobody is refused any more. Others that are held to a multiple of that amount
/// would get less and less while servers are idle. For the same reason, a customer whose sums stay
/// as they are because reports are late does not count.
class UnmetDemand
{
public:
    /// Records the sums of all hosts for each customer that asked for anything recently.
    /// \a begunFor returns the tokens that servers recently began for a customer.
    template <typename BegunFor>
    void update(const std::map<Base::CustomerId, double> &asked, BegunFor begunFor,
                Base::TimePoint now)
    {
        m_level = std::numeric_limits<double>::infinity();
        m_customer = {};
        beginUpdate(now);
        std::map<Base::CustomerId, Entry> entries;
        for (const auto &[customer, amount] : asked) {
            const auto known = m_entries.find(customer);
            Entry entry = known == m_entries.end() ? Entry() : known->second;
            record(entry, amount, begunFor(customer), now);
            if (isUnmet(entry, now) && entry.begun < m_level) {
                m_level = entry.begun;
                m_customer = customer;
            }
            entries[customer] = entry;
        }
        m_entries = std::move(entries);
    }

    /// Returns the tokens that were begun for the customer that lacks service most; infinite if
    /// none does.
    double level() const { return m_level; }
    const Base::CustomerId &customer() const { return m_customer; }

private:
    /// The number of slots that the last second is divided into.
    static constexpr std::size_t slotCount = 5;

    /// The tokens that were newly asked for and newly begun in a part of the last second.
    struct Slot
    {
        double asked = 0;
        double begun = 0;
    };
    struct Entry
    {
        double asked = 0;
        double begun = 0;
        std::array<Slot, slotCount> slots{};
        /// The time of the last update that changed the sums.
        Base::TimePoint changedAt{};
        /// The time since which the customer lacks service; empty if it does not.
        std::optional<Base::TimePoint> lackingSince{};
    };

    /// Determines how much of the earlier sums is left at \a now, and the slot that is filled.
    void beginUpdate(Base::TimePoint now);
    void record(Entry &entry, double asked, double begun, Base::TimePoint now) const;
    static bool isUnmet(const Entry &entry, Base::TimePoint now);

    std::map<Base::CustomerId, Entry> m_entries;
    std::optional<Base::TimePoint> m_updatedAt;
    /// The share of the sums of the previous update that is left.
    double m_keptShare = 0;
    std::size_t m_slot = 0;
    bool m_isNewSlot = true;
    Base::TimePoint m_slotSince{};
    double m_level = std::numeric_limits<double>::infinity();
    Base::CustomerId m_customer;
};

} // namespace Routing
