#include "gateway/hostload.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

namespace {

constexpr Base::Duration lineInterval = std::chrono::seconds(1);
constexpr std::size_t mostCustomers = 3;
/// Customers that are counted: a line names those that had most, and memory has an end.
constexpr std::size_t mostCounted = 1000;

/// "CUSTOMER:COUNT ..." of those that have most.
std::string mostOf(const std::map<Base::CustomerId, std::size_t> &counts)
{
    std::vector<std::pair<std::size_t, Base::CustomerId>> sorted;
    for (const auto &[customer, count] : counts)
        sorted.emplace_back(count, customer);
    std::sort(sorted.rbegin(), sorted.rend());
    std::string text;
    for (std::size_t i = 0; i < std::min(sorted.size(), mostCustomers); ++i) {
        if (i > 0)
            text += ' ';
        text += sorted[i].second.value() + ':' + std::to_string(sorted[i].first);
    }
    return text;
}

} // namespace

void HostLoadCounts::addPassedOver(const Base::CustomerId &customer)
{
    if (m_passedOver.size() < mostCounted || m_passedOver.contains(customer))
        ++m_passedOver[customer];
}

void HostLoadCounts::addBusy(Base::TimePoint since, Base::TimePoint now)
{
    m_busy += std::max(now - since, Base::Duration::zero());
}

bool HostLoadCounts::isDue(Base::TimePoint now) const
{
    return now - m_toldAt >= lineInterval;
}

std::optional<LogLine> HostLoadCounts::line(const LoadFigures &figures, Base::TimePoint now)
{
    if (!isDue(now))
        return std::nullopt;
    std::optional<LogLine> line;
    if (m_requests + m_refusals + m_events > 0) {
        line.emplace("host.load");
        line->add("busyMs", m_busy - m_busyTold)
            .add("processorMs", figures.processorTime - m_processorTold)
            .add("costFactor", figures.costFactor)
            .add("requests", m_requests)
            .add("refusals", m_refusals)
            .add("events", m_events);
        if (!m_passedOver.empty())
            line->add("passedOver", mostOf(m_passedOver));
        if (figures.shareLevel)
            line->add("shareLevel", *figures.shareLevel);
        if (figures.unmetLevel)
            line->add("unmetLevel", *figures.unmetLevel);
        if (figures.reportAge)
            line->add("reportAgeMs", *figures.reportAge);
    }
    clear(figures, now);
    return line;
}

void HostLoadCounts::clear(const LoadFigures &figures, Base::TimePoint now)
{
    m_toldAt = now;
    m_requests = 0;
    m_refusals = 0;
    m_events = 0;
    m_passedOver.clear();
    m_busyTold = m_busy;
    m_processorTold = figures.processorTime;
}

} // namespace Gateway
