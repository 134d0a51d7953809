#include "gateway/hostload.h"

#include <algorithm>
#include <ctime>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

namespace {

constexpr Base::Duration lineInterval = std::chrono::seconds(1);
constexpr std::size_t maxNamedCustomers = 3;
/// Bounds the memory of the counts. A line only names the customers with the highest ones.
constexpr std::size_t maxCountedCustomers = 1000;

/// Returns the customers with the highest counts as "CUSTOMER:COUNT ...".
std::string topCustomers(const std::map<Base::CustomerId, std::size_t> &counts)
{
    std::vector<std::pair<std::size_t, Base::CustomerId>> sorted;
    for (const auto &[customer, count] : counts)
        sorted.emplace_back(count, customer);
    std::sort(sorted.rbegin(), sorted.rend());
    std::string text;
    for (std::size_t i = 0; i < std::min(sorted.size(), maxNamedCustomers); ++i) {
        if (i > 0)
            text += ' ';
        text += sorted[i].second.value() + ':' + std::to_string(sorted[i].first);
    }
    return text;
}

void addCustomer(LogLine &line, const Routing::CustomerSample &sample)
{
    line.add("customer", sample.customer.value())
        .add("asked", sample.asked)
        .add("received", sample.received)
        .add("begun", sample.begun)
        .add("ownPart", sample.ownPart);
    if (sample.rate)
        line.add("rate", *sample.rate);
}

} // namespace

Base::Duration processCpuTime()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Base::Duration>(std::chrono::seconds(time.tv_sec)
                                                      + std::chrono::nanoseconds(time.tv_nsec));
}

void HostLoadCounter::addShedStream(const Base::CustomerId &customer)
{
    if (m_shedStreams.size() < maxCountedCustomers || m_shedStreams.contains(customer))
        ++m_shedStreams[customer];
}

void HostLoadCounter::addBusy(Base::TimePoint since, Base::TimePoint now)
{
    m_busy += std::max(now - since, Base::Duration::zero());
}

bool HostLoadCounter::isDue(Base::TimePoint now) const
{
    return now - m_loggedAt >= lineInterval;
}

std::optional<LogLine> HostLoadCounter::line(const LoadSample &sample, Base::TimePoint now)
{
    if (!isDue(now))
        return std::nullopt;
    std::optional<LogLine> line;
    if (m_requests + m_refusals + m_events > 0) {
        line.emplace("host.load");
        line->add("busyMs", m_busy - m_loggedBusy)
            .add("processorMs", sample.processorTime - m_loggedProcessorTime)
            .add("costFactor", sample.costFactor)
            .add("slowestPace", sample.slowestPace)
            .add("requests", m_requests)
            .add("refusals", m_refusals)
            .add("events", m_events);
        if (!m_shedStreams.empty())
            line->add("passedOver", topCustomers(m_shedStreams));
        if (sample.shareLevel)
            line->add("shareLevel", *sample.shareLevel);
        if (sample.unmetLevel) {
            line->add("unmetLevel", *sample.unmetLevel)
                .add("unmetCustomer", sample.unmetCustomer.value());
        }
        if (sample.reportAge)
            line->add("reportAgeMs", *sample.reportAge);
        if (sample.largestCustomer)
            addCustomer(*line, *sample.largestCustomer);
    }
    clear(sample, now);
    return line;
}

void HostLoadCounter::clear(const LoadSample &sample, Base::TimePoint now)
{
    m_loggedAt = now;
    m_requests = 0;
    m_refusals = 0;
    m_events = 0;
    m_shedStreams.clear();
    m_loggedBusy = m_busy;
    m_loggedProcessorTime = sample.processorTime;
}

} // namespace Gateway
