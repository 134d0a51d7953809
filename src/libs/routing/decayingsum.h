#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cmath>
#include <map>

namespace Routing {

/// Amounts of each customer over the last seconds, fading: a steady rate of r a second shows as
/// r times meanSeconds().
class FadingMeter
{
public:
    void add(const Base::CustomerId &customer, double amount, Base::TimePoint now)
    {
        Entry &entry = m_entries[customer];
        entry = {faded(entry, now) + amount, now};
    }
    double value(const Base::CustomerId &customer, Base::TimePoint now) const
    {
        const auto it = m_entries.find(customer);
        return it == m_entries.end() ? 0 : faded(it->second, now);
    }
    /// Adds to \a sums what has not faded to nothing.
    void addTo(std::map<Base::CustomerId, double> &sums, Base::TimePoint now) const
    {
        for (const auto &[customer, entry] : m_entries) {
            const double value = faded(entry, now);
            if (value >= 1)
                sums[customer] += value;
        }
    }
    static double meanSeconds()
    {
        return std::chrono::duration<double>(halfLife).count() / std::log(2.0);
    }

private:
    struct Entry
    {
        double amount = 0;
        Base::TimePoint at;
    };

    /// Fairness is owed over some four seconds. A longer memory holds what a surge got before the
    /// hosts knew of it against its customer for the whole of the next such span.
    static constexpr Base::Duration halfLife = std::chrono::milliseconds(1400);

    static double faded(const Entry &entry, Base::TimePoint now)
    {
        return entry.amount
               * std::exp2(-static_cast<double>((now - entry.at).count())
                           / static_cast<double>(halfLife.count()));
    }

    std::map<Base::CustomerId, Entry> m_entries;
};

} // namespace Routing
