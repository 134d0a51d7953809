#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// A customer that was held down, and for how long since the beginning.
struct HeldDown
{
    std::size_t customer = 0;
    std::size_t fromSecond = 0;
    double asked = 0;
    double got = 0;
    double bestGot = 0;
};

/// Whether some customer was held down for six seconds on end: in each of them a request of its was
/// refused or began late, and in all it got less than half of what it asked for or the best served
/// one got, whichever is less second by second, three of its largest requests left out.
class FairnessJudge
{
public:
    FairnessJudge(std::size_t customers, std::size_t seconds);

    void asked(std::size_t customer, double tokens, Base::Duration at);
    void got(std::size_t customer, double tokens, Base::Duration at);
    /// A request was refused, or began after its target.
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
