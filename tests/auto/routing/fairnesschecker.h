#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// A customer that was underserved, with the second in which this began and the amounts of the
/// following six seconds in tokens.
struct UnderservedPeriod
{
    std::size_t customer = 0;
    std::size_t fromSecond = 0;
    double asked = 0;
    double received = 0;
    double bestReceived = 0;
};

/// Checks whether some customer was underserved for six seconds in a row. That is the case if, in
/// each of these seconds, one of its requests was refused or started late, and if it got less than
/// half of the tokens due to it in total. For each second, the tokens due are the smaller of what
/// the customer asked for and what the best served customer got. Three of its largest requests are
/// tolerated.
class FairnessChecker
{
public:
    FairnessChecker(std::size_t customers, std::size_t seconds);

    void recordAsked(std::size_t customer, double tokens, Base::Duration at);
    void recordReceived(std::size_t customer, double tokens, Base::Duration at);
    /// Records that a request was refused, or started after its target.
    void recordDelayed(std::size_t customer, Base::Duration at);

    std::optional<UnderservedPeriod> findUnderserved() const;
    /// Returns the lowest share of the tokens due to it that any customer got in six seconds in
    /// each of which one of its requests was delayed; 1 if there is no such period.
    double lowestShare() const;
    double served() const;
    double servedOf(std::size_t customer) const;
    double receivedIn(std::size_t customer, std::size_t second) const
    {
        return m_seconds[customer][second].received;
    }

private:
    struct Second
    {
        double asked = 0;
        double received = 0;
        bool wasDelayed = false;
    };

    Second *secondOf(std::size_t customer, Base::Duration at);
    /// Calls \a visit with each period of six seconds in each of which a request of the period's
    /// customer was delayed, and with the tokens due to it.
    template <typename Visit>
    void forEachDelayedPeriod(Visit visit) const;

    std::vector<std::vector<Second>> m_seconds;
    std::vector<double> m_largest;
};

std::string describe(const UnderservedPeriod &period);
