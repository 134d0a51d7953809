#include "routing/customershares.h"

#include "routing/maxminlevel.h"

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
constexpr double evenRatio = 1.6;
/// What customers are let in at, likewise. More, since who is let in at a rate gets somewhat less
/// than that, and all would be held to less and less.
constexpr double rateRatio = 2;
/// A customer whose demand jumps is behind it until its first events are there and hosts have told
/// each other: with no fault of anybody's, and no reason to hold the others to what it had before.
constexpr Base::Duration unmetTime = milliseconds(700);
/// Part of its share that a customer has without a limit at each host: far below it, nothing has to
/// be shared out, and a request that comes to a host for once is not held up.
constexpr double freePart = 0.5;
/// Age of what other hosts report: up to a fifth of a second until a report, and twice that where
/// it goes through leaders.
constexpr Base::Duration reportAge = milliseconds(400);
/// Crowding at which what is let in is what servers began of late. Below it more is let in, which
/// finds spare room within seconds; above it less, so that work of a customer whose demand jumps
/// finds room.
constexpr double crowdingTarget = 1.25;
constexpr double growthGain = 0.6;
constexpr double mostGrowth = 0.5;
constexpr double mostCut = 0.3;
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

void CustomerShares::recordLetIn(const Base::CustomerId &customer, double tokens,
                                 Base::TimePoint now)
{
    m_pacer.charge(customer, tokens, now);
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
    load.askedSeconds = std::max(load.askedSeconds, m_askedSeconds.value(allCustomers(), now));
}

Admission CustomerShares::admission(const Base::CustomerId &customer, Base::TimePoint now)
{
    if (m_tokensPerSecond <= 0)
        return Admission::WithinShare;
    const double has = received(customer, now);
    const double share = shareLevel(now);
    if (has < share * freePart)
        return Admission::WithinShare;
    if (!m_pacer.mayPass(customer, now))
        return Admission::Refused;
    if (has < share)
        return Admission::WithinShare;
    // Compared like with like: by what it was sent, who lacks most would hold down itself.
    return started(customer, now) < m_unmetLevel * evenRatio + unmetTokens
               ? Admission::SpareCapacity
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
    const double seconds = askedSeconds(now);
    // Servers that are lost or slow do less than the configuration tells.
    const double told = m_tokensPerSecond * seconds * (1 + std::min(growth(), 0.0));
    m_shareLevel = fairLevel(asked, told);
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
    updateRates(asked, seconds, now);
}

double CustomerShares::askedSeconds(Base::TimePoint now) const
{
    const double own = m_askedSeconds.value(allCustomers(), now);
    return m_others ? std::max(own, m_others->askedSeconds) : own;
}

double CustomerShares::growth() const
{
    return std::clamp(growthGain * (crowdingTarget - m_crowding), -mostCut, mostGrowth);
}

double CustomerShares::spareLevel(const std::map<Base::CustomerId, double> &asked, double seconds,
                                  Base::TimePoint now) const
{
    double begun = 0;
    for (const auto &[customer, amount] : asked)
        begun += started(customer, now);
    const double capacity = std::max(m_tokensPerSecond * seconds, begun) * (1 + growth());
    const double bound = m_unmetLevel * rateRatio + unmetTokens;
    return std::max(m_shareLevel, std::min(fairLevel(asked, capacity), bound));
}

void CustomerShares::updateRates(const std::map<Base::CustomerId, double> &asked, double seconds,
                                 Base::TimePoint now)
{
    m_askedThen.push_back({now, {}});
    m_asked.addTo(m_askedThen.back().asked, now);
    while (m_askedThen.size() > 1
           && (now - m_askedThen[1].at >= reportAge || now - m_askedThen[0].at >= 2 * reportAge))
        m_askedThen.pop_front();
    const double level = spareLevel(asked, seconds, now);
    std::map<Base::CustomerId, double> rates;
    for (const auto &[customer, amount] : asked) {
        if (amount > level)
            rates[customer] = level / seconds * ownPart(customer);
    }
    // Where nobody else asks, there is nothing to share out.
    if (asked.size() == 1)
        rates.clear();
    m_pacer.setRates(rates, now);
}

double CustomerShares::ownPart(const Base::CustomerId &customer) const
{
    const double leastPart = 1.0 / static_cast<double>(m_others ? m_others->hosts : 1);
    const double own = valueOf(m_askedThen.front().asked, customer);
    const double all = own + (m_others ? valueOf(m_others->asked, customer) : 0);
    return all > 0 ? std::max(own / all, leastPart) : leastPart;
}

} // namespace Routing
