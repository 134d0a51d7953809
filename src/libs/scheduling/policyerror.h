#pragma once

namespace Scheduling {

/// The threshold that a static factory function of this library found out of range.
enum class PolicyField {
    AdmissionBounds,
    AdmissionRetryAfter,
    AdmissionTargetFactor,
    ConcurrencyRange,
    ConcurrencyTimes,
    RetryShare,
    RetryBurst,
    RetryAttempts,
    RetryBackoff,
};

/// Error of a static factory function: nothing was created.
struct InvalidPolicy
{
    PolicyField field;
};

} // namespace Scheduling
