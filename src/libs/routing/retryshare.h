#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>

namespace Routing {

/// The limit on retries of one service's requests in the whole fleet.
struct RetryAllowance
{
    /// The number of retries allowed for each request.
    double ratio = 0.2;
    /// The number of retries allowed beyond the ratio, for all hosts together.
    double slack = 50;
    /// The limit holds for any time span of this length.
    Base::Duration window = std::chrono::seconds(10);
};

/// This host's share of the fleet's retry budget for one service.
///
/// If many servers fail at once, every host retries its requests. Without a limit, the retries
/// would double the load of the remaining servers, which would then fail too. The limit applies to
/// the whole fleet. Each host uses its own requests multiplied by the ratio, and an even part of
/// the slack, without asking the others. Safety margins keep the sum below the limit when hosts
/// join and leave.
class RetryShare
{
public:
    explicit RetryShare(const RetryAllowance &allowance)
        : m_allowance(allowance)
    {}

    void setAllowance(const RetryAllowance &allowance) { m_allowance = allowance; }
    void recordRequest(Base::TimePoint now);
    /// Takes one retry from the share and returns true, or returns false if the share is used up.
    /// \a hosts is the number of live hosts.
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
