#include "routing/customershares.h"

#include "routing/fairlevel.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// A customer asks for more than it gets if this many tokens, and this part of what it asked, are
/// missing: about two large requests, so that one that was turned away by chance does not count.
constexpr double unmetTokens = 40000;
constexpr double unmetPart = 0.15;
/// Spare room is for customers that have received at most this many times what the customer with
/// least has. Twice as much is felt as unfair; less than this would leave room unused while the
/// reports of other hosts are on their way.
constexpr double evenRatio = 1.25;
/// A customer whose demand jumps is behind it until its first events are there and hosts have told
/// each other: with no fault of anybody's, and no reason to hold the others to what it had before.
constexpr Base::Duration unmetTime = milliseconds(700);
/// The levels are reckoned anew this often; reports of other hosts come as often.
constexpr Base::Duration updateInterval = milliseconds(100);

/// Key of a meter that is not kept for each customer.
const Base::CustomerId &allCustomers()
{
    static const Base::CustomerId all;
    return all;
}

double valueOf(const std::map<Base::CustomerId, double> &amounts, const Base::CustomerId &customer)
{
    const auto it = amounts.find(customer);
    return it == amounts.end() ? 0 : it->second;
}

} // namespace

void CustomerShares::recordDemand(const Base::CustomerId &customer, double tokens,
                                  Base::TimePoint now)
{
    m_asked.add(customer, tokens, now);
}

void CustomerShares::recordSent(const Base::CustomerId &customer, double tokens,
                                Base::TimePoint now)
{
    m_received.add(customer, tokens, now);
}

void CustomerShares::recordStarted(const Base::CustomerId &customer, double tokens,
                                   Base::TimePoint now)
{
    m_begun.add(customer, tokens, now);
}

void CustomerShares::report(HostLoad &load, Base::TimePoint now) const
{
    m_asked.addTo(load.asked, now);
    m_received.addTo(load.received, now);
    m_begun.addTo(load.begun, now);
}

Admission CustomerShares::admission(const Base::CustomerId &customer, Base::TimePoint now)
{
    if (m_tokensPerSecond <= 0)
        return Admission::WithinShare;
    const double has = received(customer, now);
    if (has < shareLevel(now))
        return Admission::WithinShare;
    return has < m_unmetLevel * evenRatio + unmetTokens ? Admission::SpareCapacity
                                                        : Admission::Refused;
}

double CustomerShares::received(const Base::CustomerId &customer, Base::TimePoint now) const
{
    const double own = m_received.value(customer, now);
    return m_others ? own + valueOf(m_others->received, customer) : own;
}

double CustomerShares::started(const Base::CustomerId &customer, Base::TimePoint now) const
{
    const double own = m_begun.value(customer, now);
    return m_others ? own + valueOf(m_others->begun, customer) : own;
}

double CustomerShares::shareLevel(Base::TimePoint now)
{
    if (m_updatedAt == Base::TimePoint::min() || now - m_updatedAt >= updateInterval)
        updateLevels(now);
    return m_shareLevel;
}

void CustomerShares::updateLevels(Base::TimePoint now)
{
    const Base::Duration since =
        m_updatedAt == Base::TimePoint::min() ? updateInterval : now - m_updatedAt;
    m_updatedAt = now;
    // A pause in what is asked for is no time in which anybody was served.
    m_askedSeconds.add(allCustomers(),
                       std::chrono::duration<double>(std::min(since, 2 * updateInterval)).count(),
                       now);
    std::map<Base::CustomerId, double> asked;
    if (m_others)
        asked = m_others->asked;
    m_asked.addTo(asked, now);
    // The meters reach back some two seconds, but not beyond the beginning of the load. With the
    // whole span as capacity from the first moment, two seconds' worth is let in at once, and
    // everybody is turned away for the next two.
    const double seconds = m_askedSeconds.value(allCustomers(), now);
    m_shareLevel = fairLevel(asked, m_tokensPerSecond * seconds);
    m_unmetLevel = std::numeric_limits<double>::infinity();
    std::map<Base::CustomerId, Base::TimePoint> unmetSince;
    for (const auto &[customer, amount] : asked) {
        const double has = started(customer, now);
        if (amount - has <= std::max(unmetTokens, amount * unmetPart))
            continue;
        const auto before = m_unmetSince.find(customer);
        const Base::TimePoint since = before == m_unmetSince.end() ? now : before->second;
        unmetSince[customer] = since;
        if (now - since >= unmetTime)
            m_unmetLevel = std::min(m_unmetLevel, has);
    }
    m_unmetSince = std::move(unmetSince);
}

} // namespace Routing
