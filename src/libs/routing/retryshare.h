#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>

namespace Routing {

/// What the whole fleet may send again of one service's requests.
struct RetryAllowance
{
    /// Repeats for each request, as a share.
    double ratio = 0.2;
    /// Repeats beyond the ratio, of all hosts together.
    double slack = 50;
    /// Any span of this length counts.
    Base::Duration window = std::chrono::seconds(10);
};

/// This host's share of the fleet's retry budget for one service.
///
/// Load: many servers fail at once, and every host sends each request again. Without a bound the
/// repeats double the work of the servers that are left, which fail in turn. The bound is the
/// fleet's, so a host uses its own requests times the ratio and an even part of the slack,
/// without asking the others. Margins keep the sum below the bound when hosts come and go.
class RetryShare
{
public:
    explicit RetryShare(const RetryAllowance &allowance)
        : m_allowance(allowance)
    {}

    void setAllowance(const RetryAllowance &allowance) { m_allowance = allowance; }
    void recordRequest(Base::TimePoint now);
    /// Takes one repeat out of the share if it has one; \a hosts is the number of live hosts.
    bool take(std::size_t hosts, Base::TimePoint now);

private:
    struct Slice
    {
        Base::TimePoint from;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Slice &slice(Base::TimePoint now);

    RetryAllowance m_allowance;
    std::deque<Slice> m_slices;
};

} // namespace Routing
