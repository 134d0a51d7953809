#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstddef>
#include <optional>

namespace Scheduling {

/// How one permit's use of a backend server ended.
enum class PermitOutcome {
    Completed, ///< The answer came whole.
    Cancelled, ///< The caller left; says nothing about the server.
    NotUsed,   ///< Nothing was sent.
    Failed,    ///< Refused, cut or timed out.
};

/// What one permit's use showed of the server.
struct PermitReport
{
    PermitOutcome outcome = PermitOutcome::Completed;
    /// From sending to the first token; empty if there was none.
    std::optional<Base::Duration> firstToken;
    Base::Duration whole{0};
    Base::ServiceUnits served = 0;
};

/// A server's own report; it lags.
struct LoadReport
{
    std::size_t running = 0;
    /// Admitted by the server but not begun.
    std::size_t queued = 0;
};

struct ConcurrencyLimits
{
    std::size_t initial = 8;
    std::size_t smallest = 1;
    std::size_t largest = 256;
};

/// Learns how many permits one backend server can use at a time. Thin version: fixed.
class ConcurrencyLimiter
{
public:
    static Base::Result<ConcurrencyLimiter> create(const ConcurrencyLimits &limits);

    std::size_t limit() const { return m_limit; }
    void recordPermit(const PermitReport &report, std::size_t inUse, Base::TimePoint now);
    void recordLoad(const LoadReport &report, Base::TimePoint now);
    /// Moves time-driven state on, such as probing a server that failed.
    void advance(Base::TimePoint now);

private:
    explicit ConcurrencyLimiter(const ConcurrencyLimits &limits);

    ConcurrencyLimits m_limits;
    std::size_t m_limit;
};

} // namespace Scheduling
