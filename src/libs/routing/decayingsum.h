#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cmath>
#include <map>

namespace Routing {

/// Sums up recent amounts of each customer with exponential decay. A steady rate of r per second
/// has the value r * timeConstantSeconds().
class DecayingSum
{
public:
    void add(const Base::CustomerId &customer, double amount, Base::TimePoint now)
    {
        Entry &entry = m_entries[customer];
        entry = {decayed(entry, now) + amount, now};
    }
    double value(const Base::CustomerId &customer, Base::TimePoint now) const
    {
        const auto it = m_entries.find(customer);
        return it == m_entries.end() ? 0 : decayed(it->second, now);
    }
    /// Adds all amounts to \a sums, except those that have decayed to below 1.
    void addTo(std::map<Base::CustomerId, double> &sums, Base::TimePoint now) const
    {
        for (const auto &[customer, entry] : m_entries) {
            const double value = decayed(entry, now);
            if (value >= 1)
                sums[customer] += value;
        }
    }
    static double timeConstantSeconds()
    {
        return std::chrono::duration<double>(halfLife).count() / std::log(2.0);
    }

    /// Returns the share of an amount that is left after \a span.
    static double keptShare(Base::Duration span)
    {
        return std::exp2(-static_cast<double>(span.count())
                         / static_cast<double>(halfLife.count()));
    }

private:
    struct Entry
    {
        double amount = 0;
        Base::TimePoint at;
    };

    /// Fairness must hold over about four seconds. A longer memory would hold what a customer got
    /// in a surge, before the hosts knew of it, against that customer for the whole of the
    /// following four seconds.
    static constexpr Base::Duration halfLife = std::chrono::milliseconds(1400);

    static double decayed(const Entry &entry, Base::TimePoint now)
    {
        return entry.amount * keptShare(now - entry.at);
    }

    std::map<Base::CustomerId, Entry> m_entries;
};

} // namespace Routing
