#include "routing/customershares.h"

#include "routing/customeraccount.h"
#include "routing/maxminlevel.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// The tokens that a customer may get in any case beyond a multiple of what the least served one
/// got: about two large requests.
constexpr double toleratedTokens = 40000;
/// Spare capacity is for customers that have received at most this many times as much as the least
/// served customer. Customers perceive a ratio of two as unfair. A lower ratio would leave capacity
/// unused while reports of other hosts are on their way.
constexpr double maxSpareRatio = 1.6;
/// A customer beyond its share may make servers read again what others have cached while it has
/// received less than this share of what the best served one has. Reading again evicts the cached
/// beginnings of everybody, but a customer whose beginnings were lost with a server must not fall
/// behind.
constexpr double maxBehindShare = 0.8;
/// The ratio of maxSpareRatio for the rates at which customers are admitted. It is higher because a
/// customer that is admitted at a rate gets somewhat less than that rate, and all rates would
/// shrink step by step.
constexpr double maxRateRatio = 2;
/// The part of its share up to which a host admits a customer without a limit. A customer far below
/// its share needs no limit, and its occasional request at a host is not delayed.
constexpr double unlimitedShare = 0.5;
/// The age of the reports of other hosts: up to a fifth of a second until a report, and twice that
/// where it passes through leaders.
constexpr Base::Duration reportAge = milliseconds(400);
/// The saturation at which as much is admitted as servers recently began. Below it more is
/// admitted, which fills spare capacity within seconds. Above it less is admitted, so that a
/// customer whose demand jumps finds capacity.
constexpr double saturationTarget = 1.25;
constexpr double growthGain = 0.6;
constexpr double maxGrowth = 0.5;
constexpr double maxCut = 0.3;
/// The interval at which the levels are updated. Reports of other hosts come this often.
constexpr Base::Duration updateInterval = milliseconds(100);

/// The key of a sum that is not kept for each customer.
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

bool isRefused(Admission admission)
{
    return admission == Admission::OverRate || admission == Admission::AheadOfOthers;
}

void CustomerShares::recordDemand(const Base::CustomerId &account, double tokens,
                                  Base::TimePoint now)
{
    m_asked.add(account, tokens, now);
}

void CustomerShares::recordSent(const Base::CustomerId &account, double tokens, Base::TimePoint now)
{
    m_received.add(account, tokens, now);
}

void CustomerShares::recordAdmitted(const Base::CustomerId &customer, double tokens,
                                    Base::TimePoint now)
{
    m_rateLimiter.charge(customer, tokens, now);
}

void CustomerShares::recordStarted(const Base::CustomerId &account, double tokens,
                                   Base::TimePoint now)
{
    m_started.add(account, tokens, now);
}

void CustomerShares::report(HostLoad &load, Base::TimePoint now) const
{
    m_asked.addTo(load.asked, now);
    m_received.addTo(load.received, now);
    m_started.addTo(load.begun, now);
    load.askedSeconds = std::max(load.askedSeconds, m_askedSeconds.value(allCustomers(), now));
}

Admission CustomerShares::admission(const Base::CustomerId &customer, Base::TimePoint now)
{
    if (m_tokensPerSecond <= 0)
        return Admission::WithinShare;
    const double receivedTokens = received(customer, now);
    const double share = shareLevel(now);
    if (receivedTokens < share * unlimitedShare)
        return Admission::WithinShare;
    if (!m_rateLimiter.isAllowed(customer, now))
        return Admission::OverRate;
    if (receivedTokens < share)
        return Admission::WithinShare;
    // Both sides count tokens from the first event. If the customer were compared by the tokens
    // sent for it, the least served customer would limit itself.
    const double startedTokens = started(customer, now);
    if (startedTokens >= unmetLevel() * maxSpareRatio + toleratedTokens)
        return Admission::AheadOfOthers;
    return startedTokens < m_bestStarted * maxBehindShare ? Admission::SpareCapacity
                                                          : Admission::CachedOnly;
}

Residency CustomerShares::regionsLeftFor(const Base::CustomerId &customer,
                                         const Residency &residency,
                                         const std::vector<Base::RegionId> &all,
                                         Base::TimePoint now) const
{
    std::vector<Base::RegionId> taken;
    const double startedTokens = m_unmetByRegion.empty() ? 0 : started(customer, now);
    for (const auto &[region, unmet] : m_unmetByRegion) {
        if (startedTokens >= unmet.level() * maxSpareRatio + toleratedTokens)
            taken.push_back(region);
    }
    return taken.empty() ? residency : residency.without(taken, all);
}

double CustomerShares::sumOf(const DecayingSum &own,
                             const std::map<Base::CustomerId, double> *others,
                             const Base::CustomerId &customer, Base::TimePoint now) const
{
    double sum = own.value(customer, now) + (others ? valueOf(*others, customer) : 0);
    const auto bound = m_boundAccounts.find(customer);
    if (bound == m_boundAccounts.end())
        return sum;
    for (const Base::CustomerId &account : bound->second)
        sum += own.value(account, now) + (others ? valueOf(*others, account) : 0);
    return sum;
}

double CustomerShares::received(const Base::CustomerId &customer, Base::TimePoint now) const
{
    return sumOf(m_received, m_peerLoad ? &m_peerLoad->received : nullptr, customer, now);
}

double CustomerShares::started(const Base::CustomerId &customer, Base::TimePoint now) const
{
    return sumOf(m_started, m_peerLoad ? &m_peerLoad->begun : nullptr, customer, now);
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
    // A pause in the demand is not time in which anybody was served.
    m_askedSeconds.add(allCustomers(),
                       std::chrono::duration<double>(std::min(since, 2 * updateInterval)).count(),
                       now);
    std::map<Base::CustomerId, double> askedByAccount;
    if (m_peerLoad)
        askedByAccount = m_peerLoad->asked;
    m_asked.addTo(askedByAccount, now);
    updateRegions(askedByAccount, now);
    const std::map<Base::CustomerId, double> asked = byCustomer(askedByAccount);
    // The sums cover about two seconds, but no time before the load began. If the whole two seconds
    // counted as capacity from the first moment, two seconds' worth of requests would be admitted
    // at once, and every request would be rejected for the next two seconds.
    const double seconds = askedSeconds(now);
    // Servers that are lost or slow process less than the configured throughput.
    const double configuredCapacity = m_tokensPerSecond * seconds * (1 + std::min(growth(), 0.0));
    m_shareLevel = maxMinLevel(asked, configuredCapacity);
    m_bestStarted = 0;
    for (const auto &[customer, amount] : asked)
        m_bestStarted = std::max(m_bestStarted, started(customer, now));
    // An account that is bound to regions may lack service there while the pool has capacity.
    std::erase_if(askedByAccount, [](const auto &it) { return customerOf(it.first) != it.first; });
    m_unmetDemand.update(
        askedByAccount, [&](const Base::CustomerId &it) { return started(it, now); }, now);
    updateRates(asked, seconds, now);
}

void CustomerShares::updateRegions(const std::map<Base::CustomerId, double> &asked,
                                   Base::TimePoint now)
{
    m_boundAccounts.clear();
    std::map<Base::RegionId, std::map<Base::CustomerId, double>> askedIn;
    for (const auto &[account, amount] : asked) {
        const Base::CustomerId customer = customerOf(account);
        if (customer == account)
            continue;
        m_boundAccounts[customer].push_back(account);
        for (const Base::RegionId &region : residencyOf(account).regions())
            askedIn[region][account] = amount;
    }
    std::erase_if(m_unmetByRegion, [&](const auto &it) { return !askedIn.contains(it.first); });
    const auto startedOf = [&](const Base::CustomerId &account) {
        return m_started.value(account, now)
               + (m_peerLoad ? valueOf(m_peerLoad->begun, account) : 0);
    };
    for (const auto &[region, accounts] : askedIn)
        m_unmetByRegion[region].update(accounts, startedOf, now);
}

double CustomerShares::askedSeconds(Base::TimePoint now) const
{
    const double own = m_askedSeconds.value(allCustomers(), now);
    return m_peerLoad ? std::max(own, m_peerLoad->askedSeconds) : own;
}

double CustomerShares::growth() const
{
    return std::clamp(growthGain * (saturationTarget - m_saturation), -maxCut, maxGrowth);
}

double CustomerShares::admissionLevel(const std::map<Base::CustomerId, double> &asked,
                                      double seconds, Base::TimePoint now) const
{
    double begun = 0;
    for (const auto &[customer, amount] : asked)
        begun += started(customer, now);
    const double capacity = std::max(m_tokensPerSecond * seconds, begun) * (1 + growth());
    const double bound = unmetLevel() * maxRateRatio + toleratedTokens;
    return std::max(m_shareLevel, std::min(maxMinLevel(asked, capacity), bound));
}

void CustomerShares::updateRates(const std::map<Base::CustomerId, double> &asked, double seconds,
                                 Base::TimePoint now)
{
    m_demandHistory.push_back({now, {}});
    std::map<Base::CustomerId, double> own;
    m_asked.addTo(own, now);
    m_demandHistory.back().asked = byCustomer(own);
    while (m_demandHistory.size() > 1
           && (now - m_demandHistory[1].at >= reportAge
               || now - m_demandHistory[0].at >= 2 * reportAge))
        m_demandHistory.pop_front();
    const double level = admissionLevel(asked, seconds, now);
    std::map<Base::CustomerId, double> rates;
    for (const auto &[customer, amount] : asked) {
        if (amount > level)
            rates[customer] = level / seconds * ownDemandShare(customer, now);
    }
    // A single customer has nobody to share the capacity with.
    if (asked.size() == 1)
        rates.clear();
    // A customer whose demand jumps is admitted without a rate until the reports of the other hosts
    // show the jump. What it got beyond the rate by then would put it ahead of the others for six
    // seconds or more.
    std::map<Base::CustomerId, double> excess;
    for (const auto &[customer, rate] : rates) {
        const double ahead = sumOf(m_received, nullptr, customer, now) - rate * seconds;
        if (!m_rateLimiter.rate(customer) && ahead > 0)
            excess[customer] = ahead;
    }
    m_rateLimiter.setRates(rates, now);
    for (const auto &[customer, tokens] : excess)
        m_rateLimiter.chargeEarlier(customer, tokens);
}

std::optional<CustomerSample> CustomerShares::largestHere(Base::TimePoint now) const
{
    std::map<Base::CustomerId, double> askedByAccount;
    m_asked.addTo(askedByAccount, now);
    const std::map<Base::CustomerId, double> asked = byCustomer(askedByAccount);
    const auto largest =
        std::max_element(asked.begin(), asked.end(), [](const auto &one, const auto &other) {
            return one.second < other.second;
        });
    if (largest == asked.end())
        return std::nullopt;
    CustomerSample sample;
    sample.customer = largest->first;
    sample.asked = sumOf(m_asked, m_peerLoad ? &m_peerLoad->asked : nullptr, sample.customer, now);
    sample.received = received(sample.customer, now);
    sample.begun = started(sample.customer, now);
    sample.ownPart = largest->second / sample.asked;
    sample.rate = m_rateLimiter.rate(sample.customer);
    return sample;
}

double CustomerShares::ownDemandShare(const Base::CustomerId &customer, Base::TimePoint now) const
{
    const double minShare = 1.0 / static_cast<double>(m_peerLoad ? m_peerLoad->hosts : 1);
    const double own = valueOf(m_demandHistory.front().asked, customer);
    const double all =
        own + (m_peerLoad ? sumOf(DecayingSum(), &m_peerLoad->asked, customer, now) : 0);
    return all > 0 ? std::max(own / all, minShare) : minShare;
}

} // namespace Routing
