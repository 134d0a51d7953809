#include "fairnesschecker.h"

#include <algorithm>
#include <sstream>

namespace {

constexpr std::size_t windowSeconds = 6;
constexpr double toleratedRequests = 3;

} // namespace

FairnessChecker::FairnessChecker(std::size_t customers, std::size_t seconds)
    : m_seconds(customers, std::vector<Second>(seconds))
    , m_largest(customers)
{}

FairnessChecker::Second *FairnessChecker::secondOf(std::size_t customer, Base::Duration at)
{
    const auto second =
        static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(at).count());
    return second < m_seconds[customer].size() ? &m_seconds[customer][second] : nullptr;
}

void FairnessChecker::recordAsked(std::size_t customer, double tokens, Base::Duration at)
{
    m_largest[customer] = std::max(m_largest[customer], tokens);
    if (Second *second = secondOf(customer, at))
        second->asked += tokens;
}

void FairnessChecker::recordReceived(std::size_t customer, double tokens, Base::Duration at)
{
    if (Second *second = secondOf(customer, at))
        second->received += tokens;
}

void FairnessChecker::recordDelayed(std::size_t customer, Base::Duration at)
{
    if (Second *second = secondOf(customer, at))
        second->wasDelayed = true;
}

template <typename Visit>
void FairnessChecker::forEachDelayedPeriod(Visit visit) const
{
    const std::size_t seconds = m_seconds.front().size();
    std::vector<double> best(seconds);
    for (std::size_t s = 0; s < seconds; ++s) {
        for (const auto &customer : m_seconds)
            best[s] = std::max(best[s], customer[s].received);
    }
    for (std::size_t c = 0; c < m_seconds.size(); ++c) {
        for (std::size_t from = 0; from + windowSeconds <= seconds; ++from) {
            UnderservedPeriod period{c, from, 0, 0, 0};
            double due = 0;
            bool wasDelayed = true;
            for (std::size_t s = from; s < from + windowSeconds; ++s) {
                const Second &second = m_seconds[c][s];
                wasDelayed = wasDelayed && second.wasDelayed;
                due += std::min(second.asked, best[s]);
                period.asked += second.asked;
                period.received += second.received;
                period.bestReceived += best[s];
            }
            if (wasDelayed)
                visit(period, due);
        }
    }
}

std::optional<UnderservedPeriod> FairnessChecker::findUnderserved() const
{
    std::optional<UnderservedPeriod> found;
    forEachDelayedPeriod([&](const UnderservedPeriod &period, double due) {
        const double tolerated = toleratedRequests * m_largest[period.customer];
        if (!found && period.received < due / 2 - tolerated)
            found = period;
    });
    return found;
}

double FairnessChecker::lowestShare() const
{
    double lowest = 1;
    forEachDelayedPeriod([&](const UnderservedPeriod &period, double due) {
        const double tolerated = toleratedRequests * m_largest[period.customer];
        if (due > 0)
            lowest = std::min(lowest, (period.received + tolerated) / due);
    });
    return lowest;
}

double FairnessChecker::servedOf(std::size_t customer) const
{
    double sum = 0;
    for (const Second &second : m_seconds[customer])
        sum += second.received;
    return sum;
}

double FairnessChecker::served() const
{
    double sum = 0;
    for (std::size_t c = 0; c < m_seconds.size(); ++c)
        sum += servedOf(c);
    return sum;
}

std::string describe(const UnderservedPeriod &period)
{
    std::ostringstream text;
    text << "customer " << period.customer << " from second " << period.fromSecond << " asked for "
         << period.asked << ", got " << period.received << " beside " << period.bestReceived;
    return text.str();
}
