#include "routing/retryshare.h"

#include <algorithm>

namespace Routing {

namespace {

/// The number of slices of a window. A retry leaves the count at most a twentieth of the window
/// late.
constexpr int slicesInWindow = 20;
/// The part of the ratio that is used. Requests count when they arrive and retries a little later,
/// so a falling load would otherwise exceed the share.
constexpr double usedRatioShare = 0.75;
/// The part of the slack that is used. A restarted host begins with a full share again, and a
/// window can contain the retries of two starts.
constexpr double usedSlackShare = 0.45;

} // namespace

void RetryShare::recordRequest(Base::TimePoint now)
{
    ++slice(now).requests;
}

bool RetryShare::take(std::size_t hosts, Base::TimePoint now)
{
    Slice &current = slice(now);
    std::uint64_t requests = 0;
    std::uint64_t repeats = 0;
    for (const Slice &it : m_slices) {
        requests += it.requests;
        repeats += it.repeats;
    }
    const double slack =
        m_allowance.slack * usedSlackShare / static_cast<double>(std::max<std::size_t>(hosts, 1));
    const double allowed =
        m_allowance.ratio * usedRatioShare * static_cast<double>(requests) + slack;
    if (static_cast<double>(repeats) + 1 > allowed)
        return false;
    ++current.repeats;
    return true;
}

RetryShare::Slice &RetryShare::slice(Base::TimePoint now)
{
    const Base::Duration length = m_allowance.window / slicesInWindow;
    while (!m_slices.empty() && now - m_slices.front().from >= m_allowance.window + length)
        m_slices.pop_front();
    if (m_slices.empty() || now - m_slices.back().from >= length)
        m_slices.push_back({now, 0, 0});
    return m_slices.back();
}

} // namespace Routing
