#pragma once

namespace Scheduling {

/// The threshold or pair of thresholds that a factory function of this library found out of range.
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

/// Error of a factory function whose policy has a threshold out of range; nothing is created.
struct InvalidPolicy
{
    PolicyField field;
};

} // namespace Scheduling
