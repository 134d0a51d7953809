#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// A customer that was underserved, with the second in which this began and the amounts of the
/// following six seconds in tokens.
struct HeldDown
{
    std::size_t customer = 0;
    std::size_t fromSecond = 0;
    double asked = 0;
    double got = 0;
    double bestGot = 0;
};

/// Checks whether some customer was underserved for six seconds in a row. That is the case if, in
/// each of these seconds, one of its requests was refused or started late, and if it got less than
/// half of the tokens due to it in total. For each second, the tokens due are the smaller of what
/// the customer asked for and what the best served customer got. Three of its largest requests are
/// tolerated.
class FairnessJudge
{
public:
    FairnessJudge(std::size_t customers, std::size_t seconds);

    void asked(std::size_t customer, double tokens, Base::Duration at);
    void got(std::size_t customer, double tokens, Base::Duration at);
    /// Records that a request was refused, or started after its target.
    void waited(std::size_t customer, Base::Duration at);

    std::optional<HeldDown> heldDown() const;
    double served() const;
    double servedOf(std::size_t customer) const;
    double gotIn(std::size_t customer, std::size_t second) const
    {
        return m_seconds[customer][second].got;
    }

private:
    struct Second
    {
        double asked = 0;
        double got = 0;
        bool hasWaited = false;
    };

    Second *secondOf(std::size_t customer, Base::Duration at);

    std::vector<std::vector<Second>> m_seconds;
    std::vector<double> m_largest;
};

std::string describe(const HeldDown &it);
